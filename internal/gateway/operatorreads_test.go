package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/wire"
)

// operatorRead is a read of what operators write; from is unread for one of all there
// is.
type operatorRead struct {
	from int64
	wait time.Duration
}

// operatorStore answers reads one after another and ends the test with the last one.
type operatorStore struct {
	*memoryStore
	answers []OperatorUpdate
	reads   []operatorRead
	// size is the bytes of all there is, limits those that reads of it allowed.
	totalBytes int64
	limits     []int64
	stop     context.CancelFunc
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

// read makes reads until the store has given all its answers.
func (s *operatorStore) runReads(t *testing.T, before func(*Gateway)) []operatorRead {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	s.memoryStore, s.stop = &memoryStore{}, cancel
	g := New(Settings{Instance: "a", Domain: "d1", ConfigBound: 100 * time.Millisecond}, stubDialect{}, s, unresponsiveTargets{})
	before(g)
	g.followOperators(ctx)
	return s.reads
}

// Guards against readers whose knowledge is as old as the start of a wait that brought
// news: all others would read the store at once, while it is slow.
func TestReaderRereadsAfterRecords(t *testing.T) {
	is := is.New(t)
	s := &operatorStore{answers: []OperatorUpdate{
		{Config: configWithRoutes(1, 3), NextOffset: 3}, {NextOffset: 3}, {NextOffset: 3}, {Config: configWithRoutes(2, 3), NextOffset: 4}, {NextOffset: 4}, {NextOffset: 4},
	}}
	const wait = 25 * time.Millisecond
	is.Equal(s.runReads(t, func(*Gateway) {}), []operatorRead{{from: unreadOffset}, {from: 3}, {3, wait}, {3, wait}, {from: 4}, {4, wait}})
}

// Guards against instances that read whole configurations from the store which they
// have had from their peers for long.
func TestReadContinuesAtPeerOffset(t *testing.T) {
	is := is.New(t)
	s := &operatorStore{answers: []OperatorUpdate{{NextOffset: 9}}}
	is.Equal(s.runReads(t, func(g *Gateway) {
		g.applyOperatorUpdate(g.clock.Now(), OperatorUpdate{Config: configWithRoutes(2, 3), NextOffset: 4})
		contact := wire.ExchangeResponse{ConfigVersion: 2, StoreContactAgeMillis: 1, OperatorsOffset: 8}
		g.applyExchangeResponse(g.clock.Now(), wire.Identity{Instance: "b"}, 0, contact)
		newer := wire.ExchangeResponse{ConfigVersion: 3, StoreContactAgeMillis: 1, OperatorsOffset: 9} // not here yet
		g.applyExchangeResponse(g.clock.Now(), wire.Identity{Instance: "b"}, 0, newer)
	})[0].from, int64(8))
}

// Guards against fleets that all start together and fill every link with a large
// configuration from the store, so that none comes from the peer that has it first.
func TestLargeConfigIsFetchedFromPeersAtStart(t *testing.T) {
	is := is.New(t)
	s := &operatorStore{totalBytes: 1 << 30, answers: []OperatorUpdate{{NextOffset: 9}}}
	reads := s.runReads(t, func(g *Gateway) {
		g.peers.known["b"] = newPeerState(0, Announced{Announcement: Announcement{Instance: "b", Domain: "d1", Capacity: 1}})
		time.AfterFunc(50*time.Millisecond, func() { // the peer's configuration and contact come
			g.applyExchangeResponse(g.clock.Now(), wire.Identity{Instance: "b"}, 0, wire.ExchangeResponse{ConfigVersion: 2, StoreContactAgeMillis: 1, OperatorsOffset: 8})
			l := g.prepareConfig(configWithRoutes(2, 3))
			g.mu.Lock()
			defer g.mu.Unlock()
			g.activateConfig(l, "b")
		})
	})
	is.Equal(len(s.limits), 1)
	is.True(s.limits[0] > 0)
	is.Equal(reads[0].from, int64(8)) // all that was left to read
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
