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

func announcementOf(name string, revision int64, alive ...string) Announced {
	return Announced{Announcement: Announcement{Instance: name, Incarnation: "1", Domain: "d1", Alive: alive}, Revision: revision}
}

// Four instances start at once. The first to write reads the announcements
// before there are others, and its record is the first one of the topic. The
// others have to find it all the same, or it serves alone with the whole rate
// of each account.
func TestAnnouncementAtOffsetZeroIsFound(t *testing.T) {
	is := is.New(t)
	p := newTestPeers("b")
	p.applyAnnouncements(0, []Announced{announcementOf("a", 0), announcementOf("b", 1)})
	is.True(p.known["a"] != nil)
	alone := newTestPeers("a")
	alone.applyAnnouncements(0, []Announced{announcementOf("a", 0)})
	is.Equal(alone.announceDelay(0), fastAnnounceInterval)
}

// A machine is gone for good. Its record stays in the store; read again, it
// must not bring the instance back to life, and with it a part of the rates.
func TestOldAnnouncementDoesNotRestoreExpiredPeer(t *testing.T) {
	is := is.New(t)
	p := newTestPeers("a")
	p.applyAnnouncements(0, []Announced{announcementOf("a", 0), announcementOf("b", 1)})
	p.expirePeers(peerExpiry + time.Second)
	is.Equal(len(p.known), 0)
	p.applyAnnouncements(peerExpiry+2*time.Second, []Announced{announcementOf("a", 0), announcementOf("b", 1)})
	is.Equal(len(p.known), 0)
	p.applyAnnouncements(peerExpiry+3*time.Second, []Announced{announcementOf("b", 5)}) // it was only away
	is.Equal(len(p.known), 1)
}

// An instance is suspended for 8 s. The silence of its peers is its own: it must
// not take them for gone as it wakes. Alone in its count it would spend the whole
// rate of each account beside all others, for as long as they are not announced
// again.
func TestSuspendedInstanceKeepsItsPeers(t *testing.T) {
	is := is.New(t)
	p := newTestPeers("a")
	p.applyAnnouncements(0, []Announced{announcementOf("a", 0), announcementOf("b", 1), announcementOf("c", 2)})
	p.g.suspension.tick(100 * time.Millisecond)
	p.expireUnlessSuspended(100 * time.Millisecond)
	p.expireUnlessSuspended(8 * time.Second)
	is.Equal(len(p.known), 2)
	p.known["b"].updatedAt = 8500 * time.Millisecond
	for now := 8 * time.Second; now < 11*time.Second; now += exchangeInterval {
		p.g.suspension.tick(now)
		p.expireUnlessSuspended(now)
	}
	is.Equal(len(p.known), 1) // c is gone indeed
}

// Two halves of the fleet cannot talk, and both reach the store. The first
// instance of the other half announces whom it hears. This one keeps them in
// its count, or each half would spend the whole rate of each account; and it
// announces its own half in turn.
func TestPartitionedPeersAreKeptByAnnouncements(t *testing.T) {
	is := is.New(t)
	p := newTestPeers("a")
	p.applyAnnouncements(0, []Announced{announcementOf("b", 1), announcementOf("c", 2), announcementOf("d", 3)})
	now := 5 * time.Second
	p.known["b"].updatedAt = now
	is.True(p.mustAnnounceOthers(now))
	is.Equal(p.overduePeers(now), map[string]int64{"c": 5000, "d": 5000})
	p.applyAnnouncements(now, []Announced{announcementOf("b", 1), announcementOf("c", 9, "d"), announcementOf("d", 3)})
	now += peerExpiry - time.Second
	p.known["b"].updatedAt = now
	p.expirePeers(now)
	is.Equal(len(p.known), 3)
	is.Equal(p.overduePeers(now)["d"], (peerExpiry - time.Second).Milliseconds())
}

// The second instance hears the first one, which looks into the store for the
// silent third: it makes no calls itself, and keeps what it is told. Once the
// first one hears the third, the second has to tell of itself.
func TestOnlyFirstRankedSearchesForSilentPeers(t *testing.T) {
	is := is.New(t)
	p := newTestPeers("b")
	p.applyAnnouncements(0, []Announced{announcementOf("a", 1), announcementOf("c", 2)})
	now := peerExpiry
	p.known["a"].updatedAt = now
	p.applyOverdueReport(now, map[string]int64{"c": 100})
	is.True(!p.mustAnnounceOthers(now))
	is.Equal(p.announceDelay(now), otherAnnounceInterval)
	p.expirePeers(now + time.Second)
	is.Equal(len(p.known), 2)
	now += peerExpiry/2 + time.Second
	p.known["a"].updatedAt = now // and no report of the third any more
	is.True(p.mustAnnounceOthers(now))
}

// Guards against two calls more to the store by each of hundreds of instances that
// start together: while the first announcement is answered, no peer has reported.
func TestInstanceAnnouncesOnceAtStart(t *testing.T) {
	is := is.New(t)
	p := newTestPeers("b")
	is.True(p.announceDue(0))
	p.applyAnnouncements(0, []Announced{announcementOf("a", 0), announcementOf("b", 1)})
	p.announceAt = p.announceDelay(0)
	is.Equal(p.announceAt, fastAnnounceInterval) // as long as it is alone
	now := fastAnnounceInterval
	p.known["a"].updatedAt = now
	is.True(!p.announceDue(now))
	is.Equal(p.announceAt, otherAnnounceInterval)
	p.known["a"].updatedAt = never
	is.True(!p.announceDue(now + fastAnnounceInterval)) // it may report yet
	is.True(p.announceDue(now + 2*fastAnnounceInterval))
}
