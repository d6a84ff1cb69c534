package gateway

import (
	"cmp"
	"slices"
	"time"
)

// namedVersions are the weights versions of one model, in the order in which
// they were named.
type namedVersions struct{ list []namedVersion }

type namedVersion struct {
	version int64
	at      time.Duration
	// found is set when this process found the version at its start, so that
	// nothing but peers tells when it was named.
	found bool
}

// add takes a version that was named by the given time, and says whether it is
// newer than all known. Of a known one it takes the earlier time.
func (n *namedVersions) add(version int64, at time.Duration) bool {
	for i := range n.list {
		if n.list[i].version == version {
			n.list[i].at = min(n.list[i].at, at)
			return false
		}
	}
	newest := len(n.list) == 0 || n.newest().version < version
	n.list = append(n.list, namedVersion{version: version, at: at})
	slices.SortFunc(n.list, func(a, b namedVersion) int { return cmp.Compare(a.version, b.version) })
	if len(n.list) > maxNamedVersions {
		n.list = n.list[1:]
	}
	return newest
}

// markFound notes that the newest version was found at the start.
func (n *namedVersions) markFound() { n.list[len(n.list)-1].found = true }

// recent are the last versions, at most max, oldest first.
func (n *namedVersions) recent(most int) []namedVersion {
	return n.list[max(0, len(n.list)-most):]
}

// maxNamedVersions is how many versions are remembered for dueBy: more than
// are named within the bound on old weights.
const maxNamedVersions = 64

func (n *namedVersions) newest() namedVersion { return n.list[len(n.list)-1] }

// dueBy is the newest version named by that time; 0 for none.
func (n *namedVersions) dueBy(at time.Duration) int64 {
	due := int64(0)
	for _, v := range n.list {
		if v.at <= at {
			due = v.version
		}
	}
	return due
}
