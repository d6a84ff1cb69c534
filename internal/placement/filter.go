package placement

// Rejection is the set of filters that reject a target: bit i stands for the i-th
// filter of the pool.
type Rejection uint32

// Filter excludes targets that must not receive new work.
type Filter interface {
	// Name identifies the filter in logs and explanations and must not change.
	Name() string
	// Rejects reports whether the target must not receive new work. The result
	// must depend on the arguments only.
	Rejects(t *Target, desiredVersion string) bool
}

// DefaultFilters returns the filters that every pool uses.
func DefaultFilters() []Filter {
	return []Filter{drainingFilter{}, versionFilter{}, breakerFilter{}, quarantineFilter{}, reachabilityFilter{}, loadingFilter{}, rateFilter{}, pauseFilter{}, slowFilter{}}
}
