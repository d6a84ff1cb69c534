package placement

// breakerFilter rejects targets whose circuit breaker is open: a request sent there
// would probably fail and use up a retry.
type breakerFilter struct{}

func (breakerFilter) Name() string { return "breaker" }

func (breakerFilter) Rejects(t *Target, _ string) bool { return t.BreakerOpen }
