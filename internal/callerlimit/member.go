package callerlimit

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/httpdrain"
	"github.com/mastictray/mastictray/internal/membudget"
	"github.com/mastictray/mastictray/internal/socketbuffer"
)

// Errors of bodies and heads that are not read to their end.
var (
	// ErrMemoryFull: the budget has no room, or the caller was evicted.
	ErrMemoryFull = errors.New("caller limit: memory budget is used up")
	// ErrBodyTooLarge: the body is larger than the limit.
	ErrBodyTooLarge = errors.New("caller limit: body too large")
)

// Member is a connection that a Limiter bounds. A nil *Member is one that nothing bounds.
type Member struct {
	limiter *Limiter
	socket  httpdrain.Socket
	// sendingSince is when the write that is going on began, in nanoseconds of the clock; 0 for
	// none.
	sendingSince atomic.Int64

	mu       sync.Mutex
	stage    stage
	progress progress
	// received is the number of bytes read since the connection was accepted.
	received int64
	// headCost is what the head of the present request takes, charged what the connection is
	// charged in all.
	headCost, charged int64
	// body is what the body that is arriving is charged.
	body int64
	// widened is set while the receive buffer is that of a large body.
	widened bool
	// waiting is set while nothing is read because there is no room for it.
	waiting bool
	// interrupted is set once the request was evicted, aborted once the connection was.
	interrupted, aborted bool
	ended                bool
	// onAbort, if set, is called when the connection is aborted.
	onAbort func()
}

// FromContext returns the member whose connection a request came on, or nil.
func FromContext(ctx context.Context) *Member {
	m, _ := httpdrain.GuardOf(ctx).(*Member)
	return m
}

// Received implements httpdrain.Guard.
func (m *Member) Received(b []byte) error {
	now := m.limiter.Now()
	m.mu.Lock()
	if m.aborted {
		m.mu.Unlock()
		return ErrMemoryFull
	}
	m.progress.add(now, len(b))
	m.received += int64(len(b))
	if m.stage == stageIdle {
		m.stage = stageHead
	}
	if m.stage != stageHead {
		m.mu.Unlock()
		return nil
	}
	m.headCost += m.limiter.headCost(b)
	more := max(0, m.headCost-includedHeadBytes-(m.charged-connectionBytes))
	m.mu.Unlock()
	if more == 0 {
		return nil
	}
	if !m.limiter.takeHead(m, more) {
		return ErrMemoryFull
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ended || m.aborted {
		m.limiter.Memory.Return(membudget.Connections, more)
		return ErrMemoryFull
	}
	m.charged += more
	return nil
}

// StateChanged implements httpdrain.Guard.
func (m *Member) StateChanged(state http.ConnState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case state == http.StateActive && (m.stage == stageHead || m.stage == stageIdle):
		m.stage = stageBody
	case state == http.StateIdle:
		m.stage, m.progress, m.headCost, m.interrupted = stageIdle, newProgress(m.limiter.Now()), 0, false
		if !m.ended && !m.aborted {
			m.limiter.Memory.Return(membudget.Connections, m.charged-connectionBytes)
			m.charged = connectionBytes
		}
	}
}

// Sending implements httpdrain.Guard.
func (m *Member) Sending(active bool) {
	since := int64(0)
	if active {
		since = int64(m.limiter.Now())
	}
	m.sendingSince.Store(since)
}

// Closed implements httpdrain.Guard.
func (m *Member) Closed() { m.limiter.remove(m) }

// end returns what the connection is still charged, and whether it was evicted, once.
func (m *Member) end() (charged int64, evicted bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ended {
		return 0, false
	}
	m.ended = true
	return m.charged, m.aborted
}

// setAborted records that the connection is closed, so that only its head is still charged.
func (m *Member) setAborted() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.aborted = true
	m.charged -= connectionBytes
	if m.onAbort != nil {
		m.onAbort()
	}
}

// callOnAbort has f called once the connection is aborted, or now if it is. A nil f ends that.
func (m *Member) callOnAbort(f func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.onAbort = f
	if m.aborted && f != nil {
		f()
	}
}

// score is the score of the connection if it held more bytes.
func (m *Member) score(now time.Duration, more int64) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return score(m.progress.value(now), m.charged+m.body+more)
}

// rank returns the order in which the connection is evicted, lowest first. ok is false if it isn't.
func (m *Member) rank(now time.Duration) (r float64, ok bool) {
	stalled := time.Duration(0)
	if since := time.Duration(m.sendingSince.Load()); since > 0 {
		stalled = now - since
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.interrupted || m.aborted {
		return 0, false
	}
	return rank(m.stage, m.progress.value(now), m.charged+m.body, stalled)
}

func (m *Member) state() (s stage, body int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stage, m.body
}

func (m *Member) holdsHead(time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stage != stageBusy && m.charged > connectionBytes
}

func (m *Member) holdsBody(time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stage == stageBody && m.body > 0
}

// stalls reports whether a body that holds memory does not arrive.
func (m *Member) stalls(now time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stage == stageBody && m.body > 0 && !m.waiting && m.progress.stalled(now)
}

// isBusy reports whether the request of the connection has arrived whole.
func (m *Member) isBusy(time.Duration) bool {
	s, _ := m.state()
	return s == stageBusy
}

func (m *Member) setWaiting(waiting bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.waiting = waiting
}

func (m *Member) isEvicted() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.interrupted || m.aborted
}

func (m *Member) bytesReceived() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.received
}

func (m *Member) isAborted() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.aborted
}

// interrupt ends the reading of a body. Its request is refused.
func (m *Member) interrupt() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stage == stageBody && !m.interrupted {
		m.interrupted = true
		m.socket.InterruptRead()
	}
}

func (m *Member) beginRequest(r *http.Request) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stage = stageBody
	if r.ContentLength == 0 {
		m.stage = stageBusy
	}
}

// finishBody records that the body has arrived whole. It returns false if the request had to give
// way before.
func (m *Member) finishBody() bool {
	if m == nil {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.interrupted {
		return false
	}
	m.stage = stageBusy
	m.setBuffer(false)
	return true
}

// widen lets more of a large body arrive at a time.
func (m *Member) widen() {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.setBuffer(true)
}

// setBuffer sets the receive buffer for a large body or for all else. The caller holds m.mu.
func (m *Member) setBuffer(large bool) {
	if m.widened == large {
		return
	}
	m.widened = large
	size := socketbuffer.Callers.Receive
	if large {
		size = bodyBufferBytes
	}
	_ = m.socket.SetReadBuffer(size) // on error the caller has disconnected
}

// endRequest reports whether a part of the body was not read.
func (m *Member) endRequest() bool {
	if m == nil {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	unread := m.stage == stageBody
	if unread {
		m.stage = stageClosing
		m.setBuffer(false)
	}
	return unread
}

func (m *Member) hasUnreadBody() bool {
	if m == nil {
		return false
	}
	s, _ := m.state()
	return s == stageBody
}

// chargeBody adds to what the body of the present request is charged.
func (m *Member) chargeBody(n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.body += n
}
