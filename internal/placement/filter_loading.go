package placement

// loadingFilter rejects targets that are loading new weights: they refuse every
// request until loading has finished.
type loadingFilter struct{}

func (loadingFilter) Name() string { return "loading" }

func (loadingFilter) Rejects(t *Target, _ string) bool { return t.Loading }
