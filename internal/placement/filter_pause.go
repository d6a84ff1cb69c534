package placement

// pauseFilter rejects targets that have asked for a pause: a request sent there would be
// refused, and the target has no capacity even for that.
type pauseFilter struct{}

func (pauseFilter) Name() string { return "pause" }

func (pauseFilter) Rejects(t *Target, _ string) bool { return t.Paused }
