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
	answers []OperatorNews
	reads   []operatorRead
	// size is the bytes of all there is, limits those that reads of it allowed.
	size   int64
	limits []int64
	end    context.CancelFunc
}

func (s *operatorStore) Newest(ctx context.Context, limit int64) (OperatorNews, error) {
	s.limits = append(s.limits, limit)
	if s.size > limit && limit > 0 {
		return OperatorNews{}, ErrTooLarge
	}
	return s.Since(ctx, unread, 0)
}

func (s *operatorStore) Since(_ context.Context, from int64, wait time.Duration) (OperatorNews, error) {
	s.reads = append(s.reads, operatorRead{from: from, wait: wait})
	n := len(s.reads)
	if n == len(s.answers) {
		s.end()
	}
	return s.answers[n-1], nil
}

// read makes reads until the store has given all its answers.
func (s *operatorStore) read(t *testing.T, before func(*Gateway)) []operatorRead {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	s.memoryStore, s.end = &memoryStore{}, cancel
	g := New(Settings{Instance: "a", Domain: "d1", ConfigBound: 100 * time.Millisecond}, silentDialect{}, s, deafTargets{})
	before(g)
	g.followOperators(ctx)
	return s.reads
}

// Guards against readers whose knowledge is as old as the start of a wait that brought
// news: all others would read the store at once, while it is slow.
func TestReaderReadsAgainAfterNews(t *testing.T) {
	is := is.New(t)
	s := &operatorStore{answers: []OperatorNews{
		{Config: withRoutes(1, 3), Next: 3}, {Next: 3}, {Next: 3}, {Config: withRoutes(2, 3), Next: 4}, {Next: 4}, {Next: 4},
	}}
	const wait = 25 * time.Millisecond
	is.Equal(s.read(t, func(*Gateway) {}), []operatorRead{{from: unread}, {from: 3}, {3, wait}, {3, wait}, {from: 4}, {4, wait}})
}

// Guards against instances that read whole configurations from the store which they
// have had from their peers for long.
func TestReadGoesOnWhereThePeerStood(t *testing.T) {
	is := is.New(t)
	s := &operatorStore{answers: []OperatorNews{{Next: 9}}}
	is.Equal(s.read(t, func(g *Gateway) {
		g.takeNews(g.clock.Now(), OperatorNews{Config: withRoutes(2, 3), Next: 4})
		contact := wire.ExchangeResponse{ConfigVersion: 2, StoreContactAgeMillis: 1, OperatorsOffset: 8}
		g.takeAnswer(g.clock.Now(), wire.Identity{Instance: "b"}, 0, contact)
		newer := wire.ExchangeResponse{ConfigVersion: 3, StoreContactAgeMillis: 1, OperatorsOffset: 9} // not here yet
		g.takeAnswer(g.clock.Now(), wire.Identity{Instance: "b"}, 0, newer)
	})[0].from, int64(8))
}

// Guards against fleets that all start together and fill every link with a large
// configuration from the store, so that none comes from the peer that has it first.
func TestLargeConfigurationIsLeftToPeersAtTheStart(t *testing.T) {
	is := is.New(t)
	s := &operatorStore{size: 1 << 30, answers: []OperatorNews{{Next: 9}}}
	reads := s.read(t, func(g *Gateway) {
		g.peers.known["b"] = newState(0, Announced{Announcement: Announcement{Instance: "b", Domain: "d1", Capacity: 1}})
		time.AfterFunc(50*time.Millisecond, func() { // the peer's configuration and contact come
			g.takeAnswer(g.clock.Now(), wire.Identity{Instance: "b"}, 0, wire.ExchangeResponse{ConfigVersion: 2, StoreContactAgeMillis: 1, OperatorsOffset: 8})
			l := g.load(withRoutes(2, 3))
			g.mu.Lock()
			defer g.mu.Unlock()
			g.putInForce(l, "b")
		})
	})
	is.Equal(len(s.limits), 1)
	is.True(s.limits[0] > 0)
	is.Equal(reads[0].from, int64(8)) // all that was left to read
}

func TestFirstOfTheDomainReadsALargeConfiguration(t *testing.T) {
	is := is.New(t)
	s := &operatorStore{size: 1 << 30, answers: []OperatorNews{{Next: 9}}}
	s.read(t, func(g *Gateway) {
		g.peers.read = true
		g.peers.known["b"] = newState(0, Announced{Announcement: Announcement{Instance: "b", Domain: "d1"}})
	})
	is.Equal(len(s.limits), 2)
	is.Equal(s.limits[1], int64(0))
}
