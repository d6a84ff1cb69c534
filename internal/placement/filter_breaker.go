package placement

// breakerFilter keeps work off targets that keep failing: each request sent
// there would spend a retry.
type breakerFilter struct{}

func (breakerFilter) Name() string { return "breaker" }

func (breakerFilter) Rejects(t *Target, _ string) bool { return t.BreakerOpen }
