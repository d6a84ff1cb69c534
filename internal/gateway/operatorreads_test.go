package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/wire"
)

// operatorRead is a read of the operator feed; from is unreadOffset for a read of
// everything.
type operatorRead struct {
	from int64
	wait time.Duration
}

// operatorStore returns its answers one after another and stops the reader with the
// last one.
type operatorStore struct {
	*memoryStore
	answers []OperatorUpdate
	reads   []operatorRead
	// totalBytes is the size of a read of everything, limits the limits passed with
	// such reads.
	totalBytes int64
	limits     []int64
	stop       context.CancelFunc
}

func (s *operatorStore) Newest(ctx context.Context, limit int64) (OperatorUpdate, error) {
	s.limits = append(s.limits, limit)
	if s.totalBytes > limit && limit > 0 {
		return OperatorUpdate{}, ErrTooLarge
	}
	return s.Since(ctx, unreadOffset, 0)
}

func (s *operatorStore) Since(_ context.Context, from int64, wait time.Duration) (OperatorUpdate, error) {
	s.reads = append(s.reads, operatorRead{from: from, wait: wait})
	n := len(s.reads)
	if n == len(s.answers) {
		s.stop()
	}
	return s.answers[n-1], nil
}

// runReads follows the operator feed until the store has returned all its answers.
func (s *operatorStore) runReads(t *testing.T, setUp func(*Gateway)) []operatorRead {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	s.memoryStore, s.stop = &memoryStore{}, cancel
	g := New(Settings{Instance: "a", Domain: "d1", ConfigBound: 100 * time.Millisecond}, stubDialect{}, s, unresponsiveTargets{})
	setUp(g)
	g.followOperators(ctx)
	return s.reads
}

// Guards against a reader whose copy is only known to be current up to the start of a
// wait that returned records: all other instances would read the store at once while it
// is slow.
func TestReaderRereadsAfterRecords(t *testing.T) {
	is := is.New(t)
	s := &operatorStore{answers: []OperatorUpdate{
		{Config: configWithRoutes(1, 3), NextOffset: 3}, {NextOffset: 3}, {NextOffset: 3}, {Config: configWithRoutes(2, 3), NextOffset: 4}, {NextOffset: 4}, {NextOffset: 4},
	}}
	const wait = 25 * time.Millisecond
	is.Equal(s.runReads(t, func(*Gateway) {}), []operatorRead{{from: unreadOffset}, {from: 3}, {3, wait}, {3, wait}, {from: 4}, {4, wait}})
}

// Guards against instances that read whole configurations from the store which they
// received from their peers long ago.
func TestReadContinuesAtPeerOffset(t *testing.T) {
	is := is.New(t)
	s := &operatorStore{answers: []OperatorUpdate{{NextOffset: 9}}}
	is.Equal(s.runReads(t, func(g *Gateway) {
		g.applyOperatorUpdate(g.clock.Now(), OperatorUpdate{Config: configWithRoutes(2, 3), NextOffset: 4})
		contact := wire.ExchangeResponse{ConfigVersion: 2, StoreContactAgeMillis: 1, OperatorsOffset: 8}
		g.applyExchangeResponse(g.clock.Now(), wire.Identity{Instance: "b"}, 0, contact)
		newer := wire.ExchangeResponse{ConfigVersion: 3, StoreContactAgeMillis: 1, OperatorsOffset: 9} // not received yet
		g.applyExchangeResponse(g.clock.Now(), wire.Identity{Instance: "b"}, 0, newer)
	})[0].from, int64(8))
}

// Guards against a fleet in which all instances start together and fill every link with
// a large configuration from the store, so that none arrives from the peer that has it
// first.
func TestLargeConfigIsFetchedFromPeersAtStart(t *testing.T) {
	is := is.New(t)
	s := &operatorStore{totalBytes: 1 << 30, answers: []OperatorUpdate{{NextOffset: 9}}}
	reads := s.runReads(t, func(g *Gateway) {
		g.peers.known["b"] = newPeerState(0, Announced{Announcement: Announcement{Instance: "b", Domain: "d1", Capacity: 1}})
		time.AfterFunc(50*time.Millisecond, func() { // the peer's configuration and contact arrive
			g.applyExchangeResponse(g.clock.Now(), wire.Identity{Instance: "b"}, 0, wire.ExchangeResponse{ConfigVersion: 2, StoreContactAgeMillis: 1, OperatorsOffset: 8})
			l := g.prepareConfig(configWithRoutes(2, 3))
			g.mu.Lock()
			defer g.mu.Unlock()
			g.activateConfig(l, "b")
		})
	})
	is.Equal(len(s.limits), 1)
	is.True(s.limits[0] > 0)
	is.Equal(reads[0].from, int64(8)) // only the rest is read
}

func TestFirstInDomainReadsLargeConfig(t *testing.T) {
	is := is.New(t)
	s := &operatorStore{totalBytes: 1 << 30, answers: []OperatorUpdate{{NextOffset: 9}}}
	s.runReads(t, func(g *Gateway) {
		g.peers.announcementsRead = true
		g.peers.known["b"] = newPeerState(0, Announced{Announcement: Announcement{Instance: "b", Domain: "d1"}})
	})
	is.Equal(len(s.limits), 2)
	is.Equal(s.limits[1], int64(0))
}
