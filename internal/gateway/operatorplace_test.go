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
	end     context.CancelFunc
}

func (s *operatorStore) Newest(ctx context.Context) (OperatorNews, error) {
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
		contact := wire.ExchangeAnswer{ConfigVersion: 2, ContactAge: 1, OperatorsNext: 8}
		g.takeAnswer(g.clock.Now(), wire.Identity{Instance: "b"}, 0, contact)
		newer := wire.ExchangeAnswer{ConfigVersion: 3, ContactAge: 1, OperatorsNext: 9} // not here yet
		g.takeAnswer(g.clock.Now(), wire.Identity{Instance: "b"}, 0, newer)
	})[0].from, int64(8))
}
