package targetpath

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestBlockedPathIsProbedUntilItIsOpen(t *testing.T) {
	is := is.New(t)
	tracker := New()
	is.True(tracker.Relayed(0, "a"))
	is.True(!tracker.Relayed(0, "a")) // known already
	is.True(tracker.Blocked("a"))
	is.Equal(len(tracker.DueProbes(ProbeInterval-1, 8)), 0)
	is.Equal(tracker.DueProbes(ProbeInterval, 8), []string{"a"})
	is.Equal(len(tracker.DueProbes(ProbeInterval, 8)), 0)
	is.True(tracker.DirectConnected(ProbeInterval, "a"))
	is.True(!tracker.Blocked("a"))
	is.True(!tracker.DirectConnected(ProbeInterval, "a"))
}

// Guards against giving up the order lease, or checking all paths, for a single lost packet.
func TestPathIsConfirmedBlockedByAFailedProbe(t *testing.T) {
	is := is.New(t)
	tracker := New()
	tracker.Relayed(0, "a")
	is.Equal(tracker.ConfirmedCount(), 0)
	is.True(tracker.ProbeFailed("a"))
	is.True(!tracker.ProbeFailed("a"))
	is.True(!tracker.ProbeFailed("b"))
	is.Equal(tracker.ConfirmedCount(), 1)
	tracker.DirectConnected(0, "a")
	is.Equal(tracker.ConfirmedCount(), 0)
}

// Guards against instances that keep using peers after a partition because each path is probed by
// itself.
func TestRecoveryOfOnePathHasTheOthersProbedAtOnce(t *testing.T) {
	is := is.New(t)
	tracker := New()
	for _, address := range []string{"a", "b", "c"} {
		tracker.Relayed(0, address)
	}
	tracker.DirectConnected(time.Millisecond, "b")
	is.Equal(len(tracker.DueProbes(time.Millisecond, 1)), 2) // more than usual at a time
	is.Equal(tracker.BlockedCount(), 2)
	is.Equal(len(tracker.DueProbes(time.Hour, 1)), 1)
}

// Guards against asking peers for a target that is down with every connection attempt.
func TestPeersAreNotAskedAgainAtOnceForAnUnreachableTarget(t *testing.T) {
	is := is.New(t)
	tracker := New()
	is.True(tracker.MayRelay(0, "a"))
	tracker.Unreachable(0, "a")
	is.True(!tracker.MayRelay(relaySuspension-1, "a"))
	is.True(tracker.MayRelay(relaySuspension-1, "b"))
	is.True(tracker.MayRelay(relaySuspension, "a"))
	tracker.Unreachable(0, "a")
	tracker.Relayed(0, "a")
	is.True(tracker.MayRelay(0, "a"))
}

func TestTargetsThatAreGoneAreForgotten(t *testing.T) {
	is := is.New(t)
	tracker := New()
	tracker.Relayed(0, "a")
	tracker.Relayed(0, "b")
	tracker.Unreachable(0, "c")
	tracker.PeerFailed(0, "p")
	tracker.Forget("b")
	tracker.Expire(time.Minute)
	is.Equal(tracker.BlockedCount(), 1)
	is.Equal(len(tracker.suspendedUntil)+len(tracker.peerFailedAt), 0)
}

func TestOrderOfPeers(t *testing.T) {
	peers := map[string]Peer{
		"near": {Name: "near", Domain: "d1"}, "far": {Name: "far", Domain: "d2"},
		"near, partitioned": {Name: "near, partitioned", Domain: "d1", Unreached: 12},
		"near, failed":      {Name: "near, failed", Domain: "d1"},
		"far, failed":       {Name: "far, failed", Domain: "d2"},
	}
	want := []string{"near", "far", "near, failed", "far, failed", "near, partitioned"}
	for seed := range uint64(20) {
		is := is.New(t)
		tracker := New()
		tracker.PeerFailed(0, "near, failed")
		tracker.PeerFailed(0, "far, failed")
		var list []Peer
		for _, p := range peers {
			list = append(list, p)
		}
		tracker.Order(peerFailureMemory, "d1", list, rand.New(rand.NewPCG(seed, 0)))
		var got []string
		for _, p := range list {
			got = append(got, p.Name)
		}
		is.Equal(got, want)
	}
}

// Guards against asking only peers of the own failure domain while all of it is partitioned.
func TestPeersOfOtherDomainsAreAskedNext(t *testing.T) {
	is := is.New(t)
	var list []Peer
	for i := range 30 {
		list = append(list, Peer{Name: string(rune('a' + i)), Domain: []string{"d1", "d2", "d3"}[i%3]})
	}
	New().Order(0, "d1", list, rand.New(rand.NewPCG(1, 0)))
	is.Equal(list[0].Domain, "d1")
	for i := range maxDiverse - 1 {
		is.True(list[i].Domain != list[i+1].Domain)
	}
}
