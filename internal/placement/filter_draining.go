package placement

// drainingFilter rejects targets that are shutting down: they may terminate before
// a new request is answered.
type drainingFilter struct{}

func (drainingFilter) Name() string { return "draining" }

func (drainingFilter) Rejects(t *Target, _ string) bool { return t.Draining || t.Leaving }
