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
	// at is when it was named, by the best word on it.
	at time.Duration
	// found is set while nobody has told who heard the version as it was named:
	// the process started later or was suspended, and so were those that told it.
	found bool
}

// add takes a version that was heard of as it was named, at that time, by this
// process or by the peer that tells; it says whether it is newer than all known.
// Of two such times the earlier one counts: late is worse than early.
func (n *namedVersions) add(version int64, at time.Duration) bool {
	v, newest := n.entry(version)
	if v.found || at < v.at {
		v.at = at
	}
	v.found = false
	return newest
}

// addFound takes a version of which only an estimate tells when it was named. A
// word of somebody who heard it outweighs all estimates; of these the earliest
// counts.
func (n *namedVersions) addFound(version int64, at time.Duration) bool {
	v, newest := n.entry(version)
	if v.found {
		v.at = min(v.at, at)
	}
	return newest
}

// entry finds or makes the entry of a version, found at the end of time, and
// says whether it is newer than all known.
func (n *namedVersions) entry(version int64) (v *namedVersion, newest bool) {
	i, known := n.search(version)
	if known {
		return &n.list[i], false
	}
	newest = i == len(n.list)
	n.list = slices.Insert(n.list, i, namedVersion{version: version, at: notYet, found: true})
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
func (n *namedVersions) dates(version int64, at time.Duration) bool {
	i, known := n.search(version)
	return !known || n.list[i].found && at < n.list[i].at
}

func (n *namedVersions) knows(version int64) bool {
	_, known := n.search(version)
	return known
}

// heard says whether somebody who heard the version as it was named has told.
func (n *namedVersions) heard(version int64) bool {
	i, known := n.search(version)
	return known && !n.list[i].found
}

// since are the versions that count to somebody for whom those named by that
// time are due: the newest of these, and all that are newer.
func (n *namedVersions) since(at time.Duration) []namedVersion {
	i, _ := n.search(n.dueBy(at))
	return n.list[i:]
}

// notYet is the time of a version before the first word on it.
const notYet = time.Duration(math.MaxInt64)

// maxNamedVersions is how many versions are remembered for dueBy: more than
// are named within the bound on old weights.
const maxNamedVersions = 64

func (n *namedVersions) newest() namedVersion { return n.list[len(n.list)-1] }

// dueBy is the newest version named by that time; 0 for none.
func (n *namedVersions) dueBy(at time.Duration) int64 {
	return n.last(func(v *namedVersion) bool { return v.at <= at })
}

// dueByEstimate is the newest of those that are due by an estimate only.
func (n *namedVersions) dueByEstimate(at time.Duration) int64 {
	return n.last(func(v *namedVersion) bool { return v.at <= at && v.found })
}

// newestFound is the newest version that nobody has heard as it was named.
func (n *namedVersions) newestFound() int64 {
	return n.last(func(v *namedVersion) bool { return v.found })
}

// last is the newest version that fits; 0 for none.
func (n *namedVersions) last(fits func(*namedVersion) bool) int64 {
	for i := range slices.Backward(n.list) {
		if fits(&n.list[i]) {
			return n.list[i].version
		}
	}
	return 0
}
