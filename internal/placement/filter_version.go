package placement

// versionFilter keeps requests off targets on other weights: their answers
// would come from a model version that the configuration does not want.
type versionFilter struct{}

func (versionFilter) Name() string { return "version" }

func (versionFilter) Rejects(t *Target, wanted string) bool {
	return wanted != "" && t.Version != wanted
}
