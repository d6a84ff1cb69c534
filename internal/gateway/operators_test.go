package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/directory"
	"github.com/mastictray/mastictray/internal/wire"
)

// All instances are killed at once, late in a rollout. None knows any more when
// the version was named, and the bound on older weights would begin anew: a
// target that was left behind would go on serving them past it. Where most
// targets serve the version, the others get no requests.
func TestRestartedFleetSparesTargetsLeftBehind(t *testing.T) {
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
	n.add(3, time.Second) // named while this process lives
	is.True(!n.newest().estimated)
	is.Equal(n.newestEstimated(), int64(2)) // who is behind it stays excluded
}

// The holder of the lease is suspended in the middle of a rollout, a newer
// version is named, the store and then a domain is cut off, and at last all
// instances lose power. The new ones find the newest version only, with few
// targets on it, some on the one between and most on the oldest, whose time is
// long over. Callers would get answers on weights named 24 s ago.
func TestRestartedFleetSparesTargetsTwoVersionsBehind(t *testing.T) {
	is := is.New(t)
	var targets []directory.Registration
	for _, v := range []int64{4, 4, 3, 3, 3, 2, 2, 2, 2, 2} {
		targets = append(targets, directory.Registration{Versions: map[string]int64{"m": v}})
	}
	is.Equal(minVersionFromTargets(targets, "m", 4), int64(3))
	is.Equal(minVersionFromTargets(targets[5:], "m", 4), int64(2)) // nobody would be left
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
	is.Equal(len(n.since(24*time.Second)), 3)
	is.Equal(len(n.since(26*time.Second)), 1) // 4 is due, nothing older counts
	is.Equal(len(n.since(time.Second)), 3)
}

// Two instances tell each other when a version was named, a hundred times. An
// answer takes 40 ms, and its age is taken from when it was asked for. Were
// each such time taken for an earlier one, the version would be 4 s older after
// a while, and targets would be excluded that may serve for half the bound more.
func TestToldAgesDoNotGrow(t *testing.T) {
	is := is.New(t)
	store := &memoryStore{newest: 2, targets: onVersions(2, 2)}
	a, b := startOn(store, "a"), startOn(store, "b")
	a.takeNews(a.clock.Now(), named(3))
	age := func(p *probed) int64 {
		for _, v := range p.answer(p.clock.Now(), wire.Identity{}, wire.Exchange{}).Weights {
			if v.Version == 3 {
				return v.AgeMillis
			}
		}
		return -1
	}
	for range 100 {
		for _, way := range [][2]*probed{{a, b}, {b, a}} {
			from, to := way[0], way[1]
			told := from.answer(from.clock.Now(), wire.Identity{}, wire.Exchange{})
			to.takeAnswer(to.clock.Now()-40*time.Millisecond, wire.Identity{}, 0, told)
		}
	}
	is.True(age(a) < 1000)
	is.True(age(b) < 1000)
	is.True(age(b) >= age(a)-1) // the one that was told does not take it for newer
}

// Guards against requests on weights past the bound after the fleet's reader was
// lost: the next one reads 0.84 s later, and a version counts as old as that.
func TestVersionIsAsOldAsTheLastContact(t *testing.T) {
	is := is.New(t)
	p := startOn(&memoryStore{newest: 2, targets: onVersions(2, 2)}, "a")
	now := p.clock.Now()
	p.contacts = contactsOf(now - 840*time.Millisecond)
	p.takeNews(now, named(3))
	is.True(p.versionsOf("m").observed(3))
	is.True(p.versionsOf("m").newest().at <= now-800*time.Millisecond)
	// A read that waited for news brings them as they are written.
	q := startOn(&memoryStore{newest: 2, targets: onVersions(2, 2)}, "a")
	now = q.clock.Now()
	q.contacts = contactsOf(now - 400*time.Millisecond)
	q.takeNews(now-400*time.Millisecond, named(3))
	is.True(q.versionsOf("m").newest().at >= now-time.Millisecond)
}
