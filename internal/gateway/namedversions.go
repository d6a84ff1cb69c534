package gateway

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// namedVersions are the weights versions of one model, in the order in which
// they were named.
type namedVersions struct{ list []namedVersion }

type namedVersion struct {
	version int64
	// at is when it was named, by the best report on it.
	namedAt time.Duration
	// estimated is set while no report has come from an instance that received the
	// version as it was named: this process started later or was suspended, and so
	// were those that reported it.
	estimated bool
}

// add takes a version that this process, or the peer that tells, received as it
// was named, at that time; it says whether it is newer than all known.
// Of two such times the earlier one counts: late is worse than early.
func (n *namedVersions) addObserved(version int64, at time.Duration) bool {
	v, newest := n.findOrInsert(version)
	if v.estimated || at < v.namedAt {
		v.namedAt = at
	}
	v.estimated = false
	return newest
}

// addEstimate takes a version of which only an estimate tells when it was named. A
// time from an instance that received it then outweighs all estimates; of these the earliest
// counts.
func (n *namedVersions) addEstimate(version int64, at time.Duration) bool {
	v, newest := n.findOrInsert(version)
	if v.estimated {
		v.namedAt = min(v.namedAt, at)
	}
	return newest
}

// entry finds or makes the entry of a version, estimated at the end of time, and
// says whether it is newer than all known.
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

// dates says whether an estimate tells something new of a version.
func (n *namedVersions) improvesEstimate(version int64, at time.Duration) bool {
	i, known := n.search(version)
	return !known || n.list[i].estimated && at < n.list[i].namedAt
}

func (n *namedVersions) contains(version int64) bool {
	_, known := n.search(version)
	return known
}

// observed says whether a report has come from an instance that received the
// version as it was named.
func (n *namedVersions) isObserved(version int64) bool {
	i, known := n.search(version)
	return known && !n.list[i].estimated
}

// since are the versions that count to somebody for whom those named by that
// time are due: the newest of these, and all that are newer.
func (n *namedVersions) newestDueAndLater(at time.Duration) []namedVersion {
	i, _ := n.search(n.newestNamedBy(at))
	return n.list[i:]
}

// notYet is the time of a version before the first report on it.
const unknownNamedAt = time.Duration(math.MaxInt64)

// maxNamedVersions is how many versions are remembered for dueBy: more than
// are named within the bound on old weights.
const maxNamedVersions = 64

func (n *namedVersions) newest() namedVersion { return n.list[len(n.list)-1] }

// dueBy is the newest version named by that time; 0 for none.
func (n *namedVersions) newestNamedBy(at time.Duration) int64 {
	return n.lastMatching(func(v *namedVersion) bool { return v.namedAt <= at })
}

// dueByEstimate is the newest of those that are due by an estimate only.
func (n *namedVersions) newestEstimateNamedBy(at time.Duration) int64 {
	return n.lastMatching(func(v *namedVersion) bool { return v.namedAt <= at && v.estimated })
}

// newestEstimated is the newest version of which only estimates tell.
func (n *namedVersions) newestEstimated() int64 {
	return n.lastMatching(func(v *namedVersion) bool { return v.estimated })
}

// last is the newest version that fits; 0 for none.
func (n *namedVersions) lastMatching(fits func(*namedVersion) bool) int64 {
	for i := range slices.Backward(n.list) {
		if fits(&n.list[i]) {
			return n.list[i].version
		}
	}
	return 0
}
