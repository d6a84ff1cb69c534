package placement

// drainingFilter keeps new work off targets that are leaving: a request that
// is sent to one may be cut off.
type drainingFilter struct{}

func (drainingFilter) Name() string { return "draining" }

func (drainingFilter) Rejects(t *Target, _ string) bool { return t.Draining }
