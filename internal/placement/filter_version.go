package placement

// versionFilter rejects targets that serve other weights than the desired version:
// their answers would come from a model version that is not configured.
type versionFilter struct{}

func (versionFilter) Name() string { return "version" }

func (versionFilter) Rejects(t *Target, desired string) bool {
	return desired != "" && t.Version != desired
}
