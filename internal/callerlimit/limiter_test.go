package callerlimit

import (
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/membudget"
)

const megabyte = 1 << 20

// fakeSocket is a connection that only records what is done to it.
type fakeSocket struct {
	aborted, interrupted bool
	readBuffer           int
}

func (s *fakeSocket) RemoteAddr() net.Addr      { return &net.TCPAddr{} }
func (s *fakeSocket) Abort()                    { s.aborted = true }
func (s *fakeSocket) InterruptRead()            { s.interrupted = true }
func (s *fakeSocket) SetReadBuffer(n int) error { s.readBuffer = n; return nil }

// testLimiter is a Limiter with a clock that the test sets.
type testLimiter struct {
	*Limiter
	is  *is.I
	now time.Duration
}

func newTestLimiter(t *testing.T, memoryMB int64, maxConnections int) *testLimiter {
	l := &testLimiter{is: is.New(t)}
	l.Limiter = New(Options{Now: func() time.Duration { return l.now }, Memory: NewMemory(memoryMB * megabyte), MaxConnections: maxConnections})
	return l
}

// connect opens a connection; nil if it is refused.
func (l *testLimiter) connect() (*Member, *fakeSocket) {
	s := &fakeSocket{}
	if g, ok := l.accept(s); ok {
		return g.(*Member), s
	}
	return nil, s
}

// serve makes a connection busy with a request that has arrived whole.
func (l *testLimiter) serve(m *Member) {
	l.is.NoErr(m.Received([]byte("GET / HTTP/1.1\r\n\r\n")))
	m.StateChanged(http.StateActive)
	m.beginRequest(&http.Request{})
}

// Guards against a crowd that holds all connections: the one that has sent least lately is evicted for
// a new one, and none that waits for its answer.
func TestLeastProgressGivesWay(t *testing.T) {
	l := newTestLimiter(t, 0, 3)
	busy, busySocket := l.connect()
	l.serve(busy)
	_, slow := l.connect()
	fast, fastSocket := l.connect()
	l.now = 10 * time.Second
	l.is.NoErr(fast.Received([]byte(strings.Repeat("x", 1000))))
	m, _ := l.connect()
	l.is.True(m != nil)
	l.is.True(slow.aborted && !fastSocket.aborted && !busySocket.aborted)
	l.is.Equal(l.Connections(), 3)
}

// Guards against a connection that is closed although its request has arrived.
func TestBusyConnectionsStay(t *testing.T) {
	l := newTestLimiter(t, 0, 2)
	for range 2 {
		m, _ := l.connect()
		l.serve(m)
	}
	m, _ := l.connect()
	l.is.True(m == nil)
	l.is.Equal(l.Refused.Load(), int64(1))
}

// Guards against callers that send requests and take nothing of the responses for ever: they may
// be evicted after a while.
func TestCallerThatTakesNothingGivesWay(t *testing.T) {
	l := newTestLimiter(t, 0, 1)
	m, socket := l.connect()
	l.serve(m)
	l.now = time.Second
	m.Sending(true)
	l.now += sendStallTimeout
	refused, _ := l.connect()
	l.is.True(refused == nil)
	l.now += time.Millisecond
	admitted, _ := l.connect()
	l.is.True(admitted != nil && socket.aborted)
}

// Guards against connections whose requests cannot be told why they are refused: up to the hard limit
// they are kept if nobody can be evicted.
func TestHardLimitKeepsConnectionsForARefusal(t *testing.T) {
	l := newTestLimiter(t, 0, 1)
	l.HardLimit = 2
	for i := range 3 {
		m, _ := l.connect()
		l.is.Equal(m != nil, i < 2)
		if m != nil {
			l.serve(m)
		}
	}
}

// Guards against heads, in few long lines or many short ones, that take more than the budget, and
// against charges that outlast their connection or end before its goroutine does.
func TestHeadsStayWithinBudget(t *testing.T) {
	for name, line := range map[string]string{"long": strings.Repeat("x", 4000) + "\r\n", "short": "a:\r\n"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			start := time.Now()
			l := New(Options{Now: func() time.Duration { return time.Since(start) }, Memory: NewMemory(96 * megabyte)})
			var callers sync.WaitGroup
			for range 100 {
				callers.Go(func() {
					g, ok := l.accept(&fakeSocket{})
					if !ok {
						return
					}
					for sent := 0; sent < 60<<10 && g.Received([]byte(line)) == nil; sent += len(line) {
					}
					g.Closed()
					g.Closed() // a connection may be closed more than once
				})
			}
			callers.Wait()
			use := l.Memory.Use()
			is.True(use.Peak <= use.Total)
			is.Equal(use.Used[membudget.Connections], int64(0))
			is.Equal(l.Connections(), 0)
		})
	}
}

// Guards against memory that is given to others while the goroutine of an evicted connection still
// holds it: it may be in the middle of a large head.
func TestHeadOfEvictedConnectionIsChargedUntilItsGoroutineEnds(t *testing.T) {
	l := newTestLimiter(t, 96, 1)
	evicted, socket := l.connect()
	l.is.NoErr(evicted.Received([]byte(strings.Repeat("x", 20<<10))))
	held := l.Memory.Use().Used[membudget.Connections]
	m, _ := l.connect()
	l.is.True(m != nil && socket.aborted)
	l.is.Equal(l.Connections(), 1)
	l.is.Equal(l.Memory.Use().Used[membudget.Connections], held) // the head of one, the connection of the other
	l.is.True(evicted.Received([]byte("x")) != nil)
	evicted.Closed()
	l.is.Equal(l.Memory.Use().Used[membudget.Connections], int64(connectionBytes))
	l.is.Equal(l.Connections(), 1)
}

// Guards against closed connections, whose goroutines may linger for half a second, that take the memory
// of new ones: a crowd that connects again and again at one port would close the others.
func TestEvictedConnectionsTakeNoRoom(t *testing.T) {
	l := newTestLimiter(t, 96, 1)
	var evicted []*Member
	for range 10_000 {
		m, _ := l.connect()
		l.is.True(m != nil)
		evicted = append(evicted, m)
		if len(evicted) > maxEnding { // as many as may linger do, and the last one is open
			evicted[0].Closed()
			evicted = evicted[1:]
		}
	}
	l.is.Equal(l.Memory.Use().Used[membudget.Connections], int64(connectionBytes))
	l.is.Equal(l.Connections(), 1)
}

// Guards against a crowd that connects so often that the goroutines of evicted connections, which
// nothing is charged for, take the memory.
func TestNewConnectionsWaitForEvictedOnesToEnd(t *testing.T) {
	l := newTestLimiter(t, 96, 1)
	evicted, _ := l.connect()
	for range maxEnding {
		_, _ = l.connect()
	}
	l.is.Equal(l.Evicted.Load(), int64(maxEnding))
	m, _ := l.connect() // none has ended in time
	l.is.True(m == nil)
	l.is.Equal(l.Refused.Load(), int64(1))

	accepted := make(chan *Member)
	go func() {
		m, _ := l.connect()
		accepted <- m
	}()
	evicted.Closed()
	evicted.Closed() // net/http may close it again
	l.is.True(<-accepted != nil)
	m, _ = l.connect()
	l.is.True(m == nil)
}

// Guards against the goroutine of an evicted connection that waits on.
func TestAbortEndsTheWaitOfAConnection(t *testing.T) {
	l := newTestLimiter(t, 0, 1)
	before, _ := l.connect()
	calls := 0
	before.callOnAbort(func() { calls++ })
	after, _ := l.connect()
	l.is.Equal(calls, 1)
	before.callOnAbort(func() { calls++ }) // it is aborted already
	l.is.Equal(calls, 2)
	after.callOnAbort(func() { calls++ })
	after.callOnAbort(nil)
	_, _ = l.connect()
	l.is.Equal(calls, 2)
}

// Guards against an eviction whose work grows with the number of connections. All others wait for it.
func TestEvictionConsidersFewConnections(t *testing.T) {
	for name, c := range map[string]struct {
		isNew, may bool
		maxWork    int
	}{
		"for a new one, any may be": {true, true, maxConsidered},
		"for a new one, none may":   {true, false, maxSeenForNew},
		"for room, any may be":      {false, true, maxConsidered},
		"for room, none may":        {false, false, maxSeen},
	} {
		t.Run(name, func(t *testing.T) {
			l := newTestLimiter(t, 0, 0)
			for range 2 * maxSeenForNew {
				_, _ = l.connect()
			}
			var asker *Member
			if !c.isNew {
				asker, _ = l.connect()
				l.is.NoErr(asker.Received([]byte("x")))
			}
			work := 0
			l.mu.Lock()
			defer l.mu.Unlock()
			victim := l.leastLocked(asker, 0, func(*Member, time.Duration) bool { work++; return c.may })
			l.is.Equal(victim != nil, c.may)
			l.is.True(work <= c.maxWork)
		})
	}
}

// Guards against a server whose callers are all refused because those of another one have taken the
// memory of connections.
func TestEachServerHasAFewConnections(t *testing.T) {
	l := newTestLimiter(t, 96, 100)
	for l.Memory.Take(membudget.Connections, connectionBytes) {
	}
	for range minConnections {
		m, _ := l.connect()
		l.is.True(m != nil)
		l.serve(m)
	}
	m, _ := l.connect()
	l.is.True(m == nil)
}

// Guards against a head that stays charged while its connection is idle.
func TestHeadIsChargedUntilItsRequestEnds(t *testing.T) {
	l := newTestLimiter(t, 96, 0)
	m, _ := l.connect()
	l.is.NoErr(m.Received([]byte(strings.Repeat("x", 20<<10))))
	l.is.True(l.Memory.Use().Used[membudget.Connections] > connectionBytes)
	m.StateChanged(http.StateActive)
	m.StateChanged(http.StateIdle)
	l.is.Equal(l.Memory.Use().Used[membudget.Connections], int64(connectionBytes))
}

// Guards against lines that arrive encrypted and are not counted: short ones take many times their
// size, so all bytes are charged alike.
func TestEncryptedHeadsAreChargedMore(t *testing.T) {
	l := newTestLimiter(t, 96, 0)
	plain := l.headCost([]byte(strings.Repeat("x", 1000)))
	l.Encrypted = true
	l.is.True(l.headCost([]byte(strings.Repeat("x", 1000))) > 4*plain)
}

// Guards against a body that is charged as a head because both arrive together: its lines are no
// headers.
func TestBodyBehindAHeadIsNotChargedAsOne(t *testing.T) {
	l := newTestLimiter(t, 96, 0)
	m, _ := l.connect()
	l.is.NoErr(m.Received([]byte("POST / HTTP/1.1\r\nHost: a\r\n\r\n" + strings.Repeat("\n", 3000))))
	l.is.Equal(l.Memory.Use().Used[membudget.Connections], int64(connectionBytes))
}

func TestRankOrdersWhoGivesWay(t *testing.T) {
	for name, c := range map[string]struct {
		first, second struct {
			stage stage
			sent  float64
			held  int64
		}
	}{
		"a refused body before one that arrives": {first: row(stageClosing, 1e6, 1), second: row(stageBody, 0, 1000)},
		"much memory for the same progress":      {first: row(stageBody, 1e4, 2e6), second: row(stageBody, 1e4, 3e4)},
		"little progress for the same memory":    {first: row(stageBody, 10, 3e4), second: row(stageIdle, 1e3, 3e4)},
		"a new small request after a large one":  {first: row(stageBody, 5e5, 3e6), second: row(stageBody, startBytes, 3e4)},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a, okA := rank(c.first.stage, c.first.sent, c.first.held, 0)
			b, okB := rank(c.second.stage, c.second.sent, c.second.held, 0)
			is.True(okA && okB && a < b)
		})
	}
}

func row(s stage, sent float64, held int64) struct {
	stage stage
	sent  float64
	held  int64
} {
	return struct {
		stage stage
		sent  float64
		held  int64
	}{s, sent, held}
}
