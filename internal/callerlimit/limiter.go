package callerlimit

import (
	"bytes"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/mastictray/mastictray/internal/httpdrain"
	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/membudget"
)

const (
	// bodyBufferBytes replaces the size of the kernel's receive buffer while a large body arrives for
	// which there is room.
	bodyBufferBytes = 64 << 10
	// connectionBytes is the memory of a connection: the buffers of the HTTP server, the stack of
	// its goroutine, and one block for a slow caller or what the kernel holds unread.
	connectionBytes = 16 << 10
	// includedHeadBytes is the part of a head that is in the memory of the connection.
	includedHeadBytes = 8 << 10
	// headCopies is how often a head is in memory: as received, parsed, and encoded for the target.
	headCopies = 4
	// headerLineBytes is the memory of a header line beside its text: entries in three maps.
	headerLineBytes = 320
	// encryptedHeadFactor is the memory of a byte of a head that arrives encrypted, so that its
	// lines can't be counted.
	encryptedHeadFactor = 32
)

// Options configure a Limiter.
type Options struct {
	Now func() time.Duration
	// Memory is the budget to which connections are charged; nil for none.
	Memory *Memory
	// MaxConnections is the number of connections above which callers are evicted; 0 for no limit.
	MaxConnections int
	// HardLimit, if it is higher, is the number up to which connections are still kept when nobody
	// may be evicted, so that their requests can be told why they are refused.
	HardLimit int
	// Encrypted is set if the connections use TLS.
	Encrypted bool
}

// Limiter bounds the connections of a server.
type Limiter struct {
	Options
	// Evicted counts the callers that were evicted, Refused the connections for which nobody could be.
	Evicted, Refused atomic.Int64

	ending *ending
	// discarded paces the reading of refused bodies, framing that of bodies in small chunks.
	discarded, framing *rate.Limiter

	mu sync.Mutex
	// members are the open connections.
	members map[*Member]struct{}
}

// New returns a Limiter.
func New(o Options) *Limiter {
	o.HardLimit = max(o.HardLimit, o.MaxConnections)
	return &Limiter{
		Options: o, ending: newEnding(maxEnding), members: map[*Member]struct{}{},
		discarded: rate.NewLimiter(discardBytesPerSecond, maxRefusedBytes), framing: newFramingRate(),
	}
}

// Attach makes the Limiter bound the connections of a server that doesn't serve yet.
func (l *Limiter) Attach(s *httpdrain.Server) {
	s.Accepted = l.accept
	s.Handler = l.handler(s.Handler)
}

// Connections returns the number of open connections.
func (l *Limiter) Connections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.members)
}

// accept decides whether a new connection is kept. Another one is evicted for it if there is one
// that may be.
func (l *Limiter) accept(socket httpdrain.Socket) (httpdrain.Guard, bool) {
	if !l.ending.await(endingTimeout) {
		l.Refused.Add(1)
		logline.InfoSampled("connection_refused", "caller", socket.RemoteAddr(), "ending", l.ending.limit)
		return nil, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.takeConnectionLocked(l.MaxConnections) {
		victim := l.leastLocked(nil, 0, func(*Member, time.Duration) bool { return true })
		switch {
		case victim != nil:
			l.abortLocked(victim, "connections")
			// A head of the victim may still take what the connections have together.
			l.Memory.charge(membudget.Connections, connectionBytes)
		case l.isBelow(min(l.MaxConnections, minConnections)):
			// Connections of other servers have taken the memory.
			l.Memory.charge(membudget.Connections, connectionBytes)
		case !l.takeConnectionLocked(l.HardLimit):
			l.Refused.Add(1)
			logline.InfoSampled("connection_refused", "caller", socket.RemoteAddr(), "connections", len(l.members), "limit", l.MaxConnections)
			return nil, false
		}
	}
	m := &Member{limiter: l, socket: socket, progress: newProgress(l.Now()), charged: connectionBytes}
	l.members[m] = struct{}{}
	return m, true
}

func (l *Limiter) takeConnectionLocked(limit int) bool {
	return (limit == 0 || l.isBelow(limit)) && l.Memory.Take(membudget.Connections, connectionBytes)
}

func (l *Limiter) isBelow(limit int) bool { return len(l.members) < limit }

// remove forgets a connection whose goroutine ends, and ends its charges. Further calls have no effect.
func (l *Limiter) remove(m *Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.members, m)
	charged, evicted := m.end()
	l.Memory.Return(membudget.Connections, charged)
	if evicted {
		l.ending.remove()
	}
}

const (
	// roomTimeout bounds the wait for memory: of an evicted caller, or of a request that ends.
	roomTimeout = 500 * time.Millisecond
	// roomInterval is the longest time until callers to evict are looked for again.
	roomInterval = 100 * time.Millisecond
)

// takeHead charges bytes of a head. Connections whose heads take memory and that rank lower are
// closed. It returns false if there is still no room after a while.
func (l *Limiter) takeHead(m *Member, n int64) bool {
	take := func() bool { return l.Memory.Take(membudget.Connections, n) }
	return l.awaitRoom(m, n, (*Member).holdsHead, take, func(victim *Member) { l.abortLocked(victim, "memory") })
}

// takeBody calls take, for n bytes of a request, until there is room. Requests whose bodies are
// arriving and rank lower are evicted, for a large one only if they have stalled. It returns false if
// there is still no room after a while.
func (l *Limiter) takeBody(m *Member, n int64, large bool, take func() bool) bool {
	may := (*Member).holdsBody
	if large {
		may = (*Member).stalls
	}
	return l.awaitRoom(m, n, may, take, func(victim *Member) {
		l.recordEvictionLocked(victim, "memory")
		victim.interrupt()
	})
}

// awaitRoom calls take, for n bytes of m, until it succeeds or the time is over. It evicts members that
// may be and rank lower, one after the other. evict is called with l.mu.
func (l *Limiter) awaitRoom(m *Member, n int64, may func(*Member, time.Duration) bool, take func() bool, evict func(*Member)) bool {
	if take() {
		return true
	}
	m.setWaiting(true)
	defer m.setWaiting(false)
	for end := l.Now() + roomTimeout; ; {
		l.mu.Lock()
		if victim := l.leastLocked(m, n, may); victim != nil {
			evict(victim)
		}
		l.mu.Unlock()
		left := end - l.Now()
		if left <= 0 || m.isEvicted() {
			return false
		}
		l.Memory.awaitReturn(n, min(left, roomInterval))
		if take() {
			return true
		}
	}
}

// headCost returns the memory that a part of a head takes. What follows the head is not part of it.
func (l *Limiter) headCost(b []byte) int64 {
	if l.Encrypted {
		return int64(len(b)) * encryptedHeadFactor
	}
	head, _, _ := bytes.Cut(b, []byte("\r\n\r\n"))
	return int64(len(head)*headCopies + bytes.Count(head, []byte{'\n'})*headerLineBytes)
}

var _ httpdrain.Guard = (*Member)(nil)

// handler marks the stages of requests and discards what is left of refused bodies.
func (l *Limiter) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		m := FromContext(r.Context())
		m.beginRequest(r)
		next.ServeHTTP(w, r)
		if m.endRequest() && (!l.discardBody(m, w, r) || m.isAborted()) {
			// net/http would wait before it ends the goroutine.
			panic(http.ErrAbortHandler)
		}
	})
}
