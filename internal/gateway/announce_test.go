package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/clock"
	"github.com/mastictray/mastictray/internal/wire"
)

func newTestPeers(name string) *peers {
	g := &Gateway{clock: clock.New(), self: wire.Identity{Instance: name, Incarnation: "1", Domain: "d1"}}
	g.peers = newPeers(g)
	return g.peers
}

func announced(name string, revision int64, alive ...string) Announced {
	return Announced{Announcement: Announcement{Instance: name, Incarnation: "1", Domain: "d1", Alive: alive}, Revision: revision}
}

// Four instances start at once. The first to write reads the announcements
// before there are others, and its record is the first one of the topic. The
// others have to find it all the same, or it serves alone with the whole rate
// of each account.
func TestFirstRecordOfTheTopicIsFound(t *testing.T) {
	is := is.New(t)
	p := newTestPeers("b")
	p.take(0, []Announced{announced("a", 0), announced("b", 1)})
	is.True(p.known["a"] != nil)
	alone := newTestPeers("a")
	alone.take(0, []Announced{announced("a", 0)})
	is.Equal(alone.announcePause(0), announceEvery)
}

// A machine is gone for good. Its record stays in the store; read again, it
// must not bring the instance back to life, and with it a part of the rates.
func TestRecordOfAGonePeerDoesNotBringItBack(t *testing.T) {
	is := is.New(t)
	p := newTestPeers("a")
	p.take(0, []Announced{announced("a", 0), announced("b", 1)})
	p.expire(goneAfter + time.Second)
	is.Equal(len(p.known), 0)
	p.take(goneAfter+2*time.Second, []Announced{announced("a", 0), announced("b", 1)})
	is.Equal(len(p.known), 0)
	p.take(goneAfter+3*time.Second, []Announced{announced("b", 5)}) // it was only away
	is.Equal(len(p.known), 1)
}

// An instance is suspended for 8 s. The silence of its peers is its own: it must
// not take them for gone as it wakes. Alone in its count it would spend the whole
// rate of each account beside all others, for as long as they are not announced
// again.
func TestWokenInstanceKeepsItsPeers(t *testing.T) {
	is := is.New(t)
	p := newTestPeers("a")
	p.take(0, []Announced{announced("a", 0), announced("b", 1), announced("c", 2)})
	p.g.suspension.tick(100 * time.Millisecond)
	p.look(100 * time.Millisecond)
	p.look(8 * time.Second)
	is.Equal(len(p.known), 2)
	p.known["b"].updatedAt = 8500 * time.Millisecond
	for now := 8 * time.Second; now < 11*time.Second; now += exchangeEvery {
		p.g.suspension.tick(now)
		p.look(now)
	}
	is.Equal(len(p.known), 1) // c is gone indeed
}

// Two halves of the fleet cannot talk, and both reach the store. The first
// instance of the other half announces whom it hears. This one keeps them in
// its count, or each half would spend the whole rate of each account; and it
// announces its own half in turn.
func TestOtherHalfIsKnownByItsFirst(t *testing.T) {
	is := is.New(t)
	p := newTestPeers("a")
	p.take(0, []Announced{announced("b", 1), announced("c", 2), announced("d", 3)})
	now := 5 * time.Second
	p.known["b"].updatedAt = now
	is.True(p.announcesOthers(now))
	is.Equal(p.overdue(now), map[string]int64{"c": 5000, "d": 5000})
	p.take(now, []Announced{announced("b", 1), announced("c", 9, "d"), announced("d", 3)})
	now += goneAfter - time.Second
	p.known["b"].updatedAt = now
	p.expire(now)
	is.Equal(len(p.known), 3)
	is.Equal(p.overdue(now)["d"], (goneAfter - time.Second).Milliseconds())
}

// The second instance hears the first one, which looks into the store for the
// silent third: it makes no calls itself, and keeps what it is told. Once the
// first one hears the third, the second has to tell of itself.
func TestOthersLeaveTheStoreToTheFirst(t *testing.T) {
	is := is.New(t)
	p := newTestPeers("b")
	p.take(0, []Announced{announced("a", 1), announced("c", 2)})
	now := goneAfter
	p.known["a"].updatedAt = now
	p.takeOverdue(now, map[string]int64{"c": 100})
	is.True(!p.announcesOthers(now))
	is.Equal(p.announcePause(now), othersAnnounceEvery)
	p.expire(now + time.Second)
	is.Equal(len(p.known), 2)
	now += goneAfter/2 + time.Second
	p.known["a"].updatedAt = now // and no report of the third any more
	is.True(p.announcesOthers(now))
}

// Guards against two calls more to the store by each of hundreds of instances that
// start together: while the first announcement is answered, no peer has reported.
func TestInstanceAnnouncesOnceAtItsStart(t *testing.T) {
	is := is.New(t)
	p := newTestPeers("b")
	is.True(p.announceDue(0))
	p.take(0, []Announced{announced("a", 0), announced("b", 1)})
	p.announceAt = p.announcePause(0)
	is.Equal(p.announceAt, announceEvery) // as long as it is alone
	now := announceEvery
	p.known["a"].updatedAt = now
	is.True(!p.announceDue(now))
	is.Equal(p.announceAt, othersAnnounceEvery)
	p.known["a"].updatedAt = never
	is.True(!p.announceDue(now + announceEvery)) // it may report yet
	is.True(p.announceDue(now + 2*announceEvery))
}
