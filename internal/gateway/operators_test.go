package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/directory"
	"github.com/mastictray/mastictray/internal/wire"
)

// Guards against a bound on old weights that restarts when all instances are killed
// late in a rollout: none knows when the version was named, and a target that was left
// behind would serve older weights past the bound. If most targets serve the version,
// the others get no requests.
func TestRestartedFleetExcludesOutdatedTargets(t *testing.T) {
	is := is.New(t)
	target := func(v int64) directory.Registration {
		return directory.Registration{Versions: map[string]int64{"m": v}}
	}
	is.Equal(minVersionFromTargets([]directory.Registration{target(2), target(2), target(1)}, "m", 2), int64(2))
	is.Equal(minVersionFromTargets([]directory.Registration{target(2), target(1), target(1)}, "m", 2), int64(1))
	is.Equal(minVersionFromTargets(nil, "m", 2), int64(0))
	var n namedVersions
	n.addEstimate(2, 0)
	is.True(n.newest().estimated)
	n.addObserved(3, time.Second) // named while this process runs
	is.True(!n.newest().estimated)
	is.Equal(n.newestEstimated(), int64(2)) // targets behind it stay excluded
}

// Guards against responses on weights named 24 s ago. The lease holder is suspended
// during a rollout, a newer version is named, the store and then a domain is
// partitioned, and finally all instances lose power. The new processes find only the
// newest version, with few targets on it, some on the one before and most on the
// oldest, which is long past its bound.
func TestRestartedFleetExcludesTargetsTwoVersionsBehind(t *testing.T) {
	is := is.New(t)
	var targets []directory.Registration
	for _, v := range []int64{4, 4, 3, 3, 3, 2, 2, 2, 2, 2} {
		targets = append(targets, directory.Registration{Versions: map[string]int64{"m": v}})
	}
	is.Equal(minVersionFromTargets(targets, "m", 4), int64(3))
	is.Equal(minVersionFromTargets(targets[5:], "m", 4), int64(2)) // no target would be left
}

// Guards against a bound on old weights that counts from a late report. Versions arrive
// late and in any order, from the store and from peers.
func TestNamedVersionsKeepTheEarliestTime(t *testing.T) {
	is := is.New(t)
	var n namedVersions
	is.True(n.addObserved(2, 20*time.Second))
	is.True(n.addObserved(4, 40*time.Second))
	is.True(!n.addObserved(3, 30*time.Second)) // reported by a peer after a restart
	is.True(!n.addObserved(4, 25*time.Second))
	is.Equal(n.newest().version, int64(4))
	is.Equal(n.newestNamedBy(24*time.Second), int64(2))
	is.Equal(n.newestNamedBy(30*time.Second), int64(4))
	is.Equal(n.newestNamedBy(time.Second), int64(0))
	is.Equal(len(n.newestDueAndLater(24*time.Second)), 3)
	is.Equal(len(n.newestDueAndLater(26*time.Second)), 1) // 4 is due, so older versions do not matter
	is.Equal(len(n.newestDueAndLater(time.Second)), 3)
}

// Guards against versions that age with every exchange. Two instances exchange the
// naming time a hundred times; a response takes 40 ms, and its age counts from the
// request. If each time were taken as an earlier one, the version would become 4 s too
// old, and targets would be excluded that may serve for half the bound more.
func TestReportedAgesDoNotGrow(t *testing.T) {
	is := is.New(t)
	store := &memoryStore{newest: 2, targets: targetsOnVersions(2, 2)}
	a, b := startTestGateway(store, "a"), startTestGateway(store, "b")
	a.applyOperatorUpdate(a.clock.Now(), namedVersionUpdate(3))
	reportedAge := func(p *testGateway) int64 {
		for _, v := range p.exchangeResponse(p.clock.Now(), wire.Identity{}, wire.Exchange{}).Weights {
			if v.Version == 3 {
				return v.AgeMillis
			}
		}
		return -1
	}
	for range 100 {
		for _, direction := range [][2]*testGateway{{a, b}, {b, a}} {
			from, to := direction[0], direction[1]
			response := from.exchangeResponse(from.clock.Now(), wire.Identity{}, wire.Exchange{})
			to.applyExchangeResponse(to.clock.Now()-40*time.Millisecond, wire.Identity{}, 0, response)
		}
	}
	is.True(reportedAge(a) < 1000)
	is.True(reportedAge(b) < 1000)
	is.True(reportedAge(b) >= reportedAge(a)-1) // b does not take the version for newer than a does
}

// Guards against requests on weights past the bound after the loss of the fleet's
// reader: the next instance reads 0.84 s later, and a version may be as old as that.
func TestVersionAgeCountsFromLastContact(t *testing.T) {
	is := is.New(t)
	p := startTestGateway(&memoryStore{newest: 2, targets: targetsOnVersions(2, 2)}, "a")
	now := p.clock.Now()
	p.contacts = contactAt(now - 840*time.Millisecond)
	p.applyOperatorUpdate(now, namedVersionUpdate(3))
	is.True(p.versionsOf("m").isObserved(3))
	is.True(p.versionsOf("m").newest().namedAt <= now-800*time.Millisecond)
	// A read that waits for new records returns versions as they are written.
	q := startTestGateway(&memoryStore{newest: 2, targets: targetsOnVersions(2, 2)}, "a")
	now = q.clock.Now()
	q.contacts = contactAt(now - 400*time.Millisecond)
	q.applyOperatorUpdate(now-400*time.Millisecond, namedVersionUpdate(3))
	is.True(q.versionsOf("m").newest().namedAt >= now-time.Millisecond)
}
