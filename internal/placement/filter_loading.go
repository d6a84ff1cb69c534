package placement

// loadingFilter keeps requests off targets that take new weights: they refuse
// every request until the weights are in.
type loadingFilter struct{}

func (loadingFilter) Name() string { return "loading" }

func (loadingFilter) Rejects(t *Target, _ string) bool { return t.Loading }
