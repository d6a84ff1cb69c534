package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/clock"
	"github.com/mastictray/mastictray/internal/wire"
)

func newTestPeers(name string) *peers {
	c := clock.New()
	g := &Gateway{clock: c, self: wire.Identity{Instance: name, Incarnation: "1", Domain: "d1"}, limits: newTargetLimits(c.Now, name)}
	g.peers = newPeers(g)
	return g.peers
}

func announcementOf(name string, revision int64, alive ...string) Announced {
	return Announced{Announcement: Announcement{Instance: name, Incarnation: "1", Domain: "d1", Alive: alive}, Revision: revision}
}

// Guards against an instance that serves alone with the whole rate of each account
// because its peers ignore its announcement. Four instances start at once; the first to
// write reads the announcements before the others have written theirs, and its record
// is the first one of the topic, at offset 0.
func TestAnnouncementAtOffsetZeroIsFound(t *testing.T) {
	is := is.New(t)
	p := newTestPeers("b")
	p.applyAnnouncements(0, []Announced{announcementOf("a", 0), announcementOf("b", 1)})
	is.True(p.known["a"] != nil)
	first := newTestPeers("a")
	first.applyAnnouncements(0, []Announced{announcementOf("a", 0)})
	is.Equal(first.announceDelay(0), fastAnnounceInterval)
}

// Guards against a peer that is gone for good but returns with each read of its old
// announcement, and with it its share of the rates.
func TestOldAnnouncementDoesNotRestoreExpiredPeer(t *testing.T) {
	is := is.New(t)
	p := newTestPeers("a")
	p.applyAnnouncements(0, []Announced{announcementOf("a", 0), announcementOf("b", 1)})
	p.expirePeers(peerExpiry + time.Second)
	is.Equal(len(p.known), 0)
	p.applyAnnouncements(peerExpiry+2*time.Second, []Announced{announcementOf("a", 0), announcementOf("b", 1)})
	is.Equal(len(p.known), 0)
	p.applyAnnouncements(peerExpiry+3*time.Second, []Announced{announcementOf("b", 5)}) // it has announced itself again
	is.Equal(len(p.known), 1)
}

// Guards against an instance that is suspended for 8 s and removes its peers when it
// resumes, because it has received nothing from them. Until they are announced again it
// would count itself as alone and spend the whole rate of each account in addition to
// all others.
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
	is.Equal(len(p.known), 1) // c is really gone
}

// Guards against two halves of a partitioned fleet that each spend the whole rate of
// each account. Both reach the store. The first-ranked instance of the other half
// announces the peers whose updates it receives; this instance keeps them in its count and
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

// Guards against store calls by instances that needn't search for silent peers. The
// second-ranked instance receives updates of the first-ranked one, which searches the
// store for the silent third; it makes no calls and applies the reports. Once the
// first-ranked instance receives updates of the third again, the second has to
// announce itself.
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
	p.known["a"].updatedAt = now // without a report of c
	is.True(p.mustAnnounceOthers(now))
}

// Guards against two additional store calls by each of hundreds of instances that start
// together: when the first announcement is answered, no peer has reported yet.
func TestInstanceAnnouncesOnceAtStart(t *testing.T) {
	is := is.New(t)
	p := newTestPeers("b")
	is.True(p.announceDue(0))
	p.applyAnnouncements(0, []Announced{announcementOf("a", 0), announcementOf("b", 1)})
	p.announceAt = p.announceDelay(0)
	is.Equal(p.announceAt, fastAnnounceInterval) // while no peer reports
	now := fastAnnounceInterval
	p.known["a"].updatedAt = now
	is.True(!p.announceDue(now))
	is.Equal(p.announceAt, otherAnnounceInterval)
	p.known["a"].updatedAt = never
	is.True(!p.announceDue(now + fastAnnounceInterval)) // it may still report
	is.True(p.announceDue(now + 2*fastAnnounceInterval))
}
