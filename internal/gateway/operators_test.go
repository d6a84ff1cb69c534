package gateway

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// News wakes the reads of all instances at once, and none comes for a while.
// Had all reads the same wait, the fleet's knowledge would age to the whole of
// it before any read ends, and all instances would stop trusting keys at the
// same moment. The first of six reads ends long before.
func TestReadsOfAFleetEndAtDifferentTimes(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	const fleet = 6
	late := 0
	for range 1000 {
		first := maxOperatorWait
		for range fleet {
			first = min(first, drawOperatorWait(fleet-1, rng))
		}
		if first > 2*time.Second {
			late++
		}
	}
	is.True(late < 50)
}

func TestReadOfALoneInstanceIsShort(t *testing.T) {
	is := is.New(t)
	is.Equal(drawOperatorWait(0, nil), operatorWait)
	is.True(drawOperatorWait(1, rand.New(rand.NewPCG(1, 1))) <= 2*minOperatorWait)
}

// Versions come late, in any order, from the store and from peers. The bound
// on old weights counts from the earliest word on each.
func TestNamedVersionsKeepTheEarliestTime(t *testing.T) {
	is := is.New(t)
	var n namedVersions
	is.True(n.add(2, 20*time.Second))
	is.True(n.add(4, 40*time.Second))
	is.True(!n.add(3, 30*time.Second)) // heard after a restart, from a peer
	is.True(!n.add(4, 25*time.Second))
	is.Equal(n.newest().version, int64(4))
	is.Equal(n.dueBy(24*time.Second), int64(2))
	is.Equal(n.dueBy(30*time.Second), int64(4))
	is.Equal(n.dueBy(time.Second), int64(0))
	is.Equal(len(n.recent(2)), 2)
}
