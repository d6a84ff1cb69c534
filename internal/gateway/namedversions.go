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
	// heardAt is the earliest time by which it was named, by this process's
	// and its peers' own hearing; recordedAt the same by the store's record.
	// Either is noTime where nothing tells.
	heardAt, recordedAt time.Duration
	// found is set when this process did not hear the version as it was named:
	// it started later, or was without word from operators.
	found bool
}

// noTime is the time of a version of which nothing tells when it was named.
const noTime = time.Duration(math.MaxInt64)

// namedBy is when it was named at the latest. Late is worse than early: callers
// would get answers on replaced weights past the bound.
func (v *namedVersion) namedBy() time.Duration { return min(v.heardAt, v.recordedAt) }

// add takes a version that was named by the given time, and says whether it is
// newer than all known. Of a known one it takes the earlier time.
func (n *namedVersions) add(version int64, at time.Duration) bool {
	newest := !n.heardOf(version) && (len(n.list) == 0 || n.newest().version <= version)
	v := n.entry(version)
	v.heardAt = min(v.heardAt, at)
	return newest
}

// addRecorded takes what the store's record tells of a version, and says
// whether that is earlier than what was known.
func (n *namedVersions) addRecorded(version int64, at time.Duration) bool {
	v := n.entry(version)
	earlier := at < v.namedBy()
	v.recordedAt = min(v.recordedAt, at)
	return earlier
}

// entry finds or makes the entry of a version.
func (n *namedVersions) entry(version int64) *namedVersion {
	i, known := slices.BinarySearchFunc(n.list, version, func(v namedVersion, version int64) int {
		return cmp.Compare(v.version, version)
	})
	if !known {
		n.list = slices.Insert(n.list, i, namedVersion{version: version, heardAt: noTime, recordedAt: noTime})
		if len(n.list) > maxNamedVersions && i > 0 {
			n.list, i = n.list[1:], i-1
		}
	}
	return &n.list[i]
}

// heardOf says whether somebody but the store's record has told of a version.
func (n *namedVersions) heardOf(version int64) bool {
	return slices.ContainsFunc(n.list, func(v namedVersion) bool { return v.version == version && v.heardAt != noTime })
}

// heardInTime says whether a version was heard of as it was named.
func (n *namedVersions) heardInTime(version int64) bool {
	return slices.ContainsFunc(n.list, func(v namedVersion) bool {
		return v.version == version && v.heardAt != noTime && !v.found
	})
}

// markFound notes that a version was not heard as it was named.
func (n *namedVersions) markFound(version int64) { n.entry(version).found = true }

// heard are the last versions that were heard of, at most as many as given,
// oldest first.
func (n *namedVersions) heard(most int) []namedVersion {
	var heard []namedVersion
	for _, v := range n.list {
		if v.heardAt != noTime {
			heard = append(heard, v)
		}
	}
	return heard[max(0, len(heard)-most):]
}

// maxNamedVersions is how many versions are remembered for dueBy: more than
// are named within the bound on old weights.
const maxNamedVersions = 64

func (n *namedVersions) newest() *namedVersion { return &n.list[len(n.list)-1] }

// newestFound is the newest version that was not heard as it was named; 0 for
// none.
func (n *namedVersions) newestFound() int64 {
	for _, v := range slices.Backward(n.list) {
		if v.found {
			return v.version
		}
	}
	return 0
}

// dueBy is the newest version named by that time; 0 for none.
func (n *namedVersions) dueBy(at time.Duration) int64 {
	due := int64(0)
	for _, v := range n.list {
		if v.namedBy() <= at {
			due = v.version
		}
	}
	return due
}
