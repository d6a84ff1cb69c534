package placement

// reachabilityFilter rejects targets in domains that this instance cannot reach: a
// request would wait for the connect timeout.
type reachabilityFilter struct{}

func (reachabilityFilter) Name() string { return "reachability" }

func (reachabilityFilter) Rejects(t *Target, _ string) bool { return t.Unreachable }
