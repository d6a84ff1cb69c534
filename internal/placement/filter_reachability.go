package placement

// reachabilityFilter keeps work off targets in domains that this instance
// cannot reach: it would wait for a connect timeout.
type reachabilityFilter struct{}

func (reachabilityFilter) Name() string { return "reachability" }

func (reachabilityFilter) Rejects(t *Target, _ string) bool { return t.Unreachable }
