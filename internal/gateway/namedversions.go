package gateway

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// namedVersions holds the weights versions of one model in ascending order.
type namedVersions struct{ list []namedVersion }

type namedVersion struct {
	version int64
	// namedAt is the time at which the version was named, according to the best report
	// so far.
	namedAt time.Duration
	// estimated is set until an instance that received the version when it was named
	// reports it. Until then only processes that started later or were suspended have
	// reported it.
	estimated bool
}

// addObserved adds a version that this process or the reporting peer received when it
// was named, at the given time. It returns true if the version is newer than all known
// ones. Of several observed times the earliest counts: excluding old weights too early
// is better than too late.
func (n *namedVersions) addObserved(version int64, at time.Duration) bool {
	v, newest := n.findOrInsert(version)
	if v.estimated || at < v.namedAt {
		v.namedAt = at
	}
	v.estimated = false
	return newest
}

// addEstimate adds a version whose naming time is only an estimate. An observed time
// replaces all estimates; of several estimates the earliest counts. It returns true if
// the version is newer than all known ones.
func (n *namedVersions) addEstimate(version int64, at time.Duration) bool {
	v, newest := n.findOrInsert(version)
	if v.estimated {
		v.namedAt = min(v.namedAt, at)
	}
	return newest
}

// findOrInsert returns the entry of a version. A new entry is estimated, at the end of
// time. newest is set if the version is new and newer than all others.
func (n *namedVersions) findOrInsert(version int64) (v *namedVersion, newest bool) {
	i, known := n.search(version)
	if known {
		return &n.list[i], false
	}
	newest = i == len(n.list)
	n.list = slices.Insert(n.list, i, namedVersion{version: version, namedAt: unknownNamedAt, estimated: true})
	if len(n.list) > maxNamedVersions && i > 0 {
		n.list, i = n.list[1:], i-1
	}
	return &n.list[i], newest
}

func (n *namedVersions) search(version int64) (int, bool) {
	return slices.BinarySearchFunc(n.list, version, func(v namedVersion, version int64) int {
		return cmp.Compare(v.version, version)
	})
}

// improvesEstimate reports whether an estimate would add the version or make its
// estimated time earlier.
func (n *namedVersions) improvesEstimate(version int64, at time.Duration) bool {
	i, known := n.search(version)
	return !known || n.list[i].estimated && at < n.list[i].namedAt
}

func (n *namedVersions) contains(version int64) bool {
	_, known := n.search(version)
	return known
}

// isObserved reports whether an instance that received the version when it was named
// has reported it.
func (n *namedVersions) isObserved(version int64) bool {
	i, known := n.search(version)
	return known && !n.list[i].estimated
}

// newestDueAndLater returns the newest version named by the given time and all newer
// ones. Older versions make no difference to the bound on old weights.
func (n *namedVersions) newestDueAndLater(at time.Duration) []namedVersion {
	i, _ := n.search(n.newestNamedBy(at))
	return n.list[i:]
}

// unknownNamedAt is the time of a version before the first report of it.
const unknownNamedAt = time.Duration(math.MaxInt64)

// maxNamedVersions bounds the remembered versions. It exceeds the number of versions
// named within the bound on old weights.
const maxNamedVersions = 64

func (n *namedVersions) newest() namedVersion { return n.list[len(n.list)-1] }

// newestNamedBy returns the newest version named by the given time, or 0 if there is
// none.
func (n *namedVersions) newestNamedBy(at time.Duration) int64 {
	return n.lastMatching(func(v *namedVersion) bool { return v.namedAt <= at })
}

// newestEstimateNamedBy returns the newest version that was named by the given time
// according to an estimate, or 0 if there is none.
func (n *namedVersions) newestEstimateNamedBy(at time.Duration) int64 {
	return n.lastMatching(func(v *namedVersion) bool { return v.namedAt <= at && v.estimated })
}

// newestEstimated returns the newest version whose naming time is an estimate, or 0 if
// there is none.
func (n *namedVersions) newestEstimated() int64 {
	return n.lastMatching(func(v *namedVersion) bool { return v.estimated })
}

// lastMatching returns the newest version that matches, or 0 if there is none.
func (n *namedVersions) lastMatching(matches func(*namedVersion) bool) int64 {
	for i := range slices.Backward(n.list) {
		if matches(&n.list[i]) {
			return n.list[i].version
		}
	}
	return 0
}
