package gateway

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/membudget"
)

const (
	// connectionBytes is the memory of a caller's connection: the buffers of the HTTP server,
	// the stack of its goroutine and one block for a slow caller.
	connectionBytes = 16 << 10
	// requestBytes is the memory of a request without its body: headers, the connection to its
	// target and the stacks of their goroutines.
	requestBytes = 24 << 10
	// bodyCopies is how often a body is in memory while it is sent: as received, and encoded
	// for the target.
	bodyCopies = 2
	// relayedConnBytes is the memory of a connection relayed for a peer: two goroutines with
	// a buffer each and the buffers of the peer's stream.
	relayedConnBytes = 24 << 10
	// memoryRetryAfter is the Retry-After of an instance whose memory is used up. Its callers'
	// next connections go to another instance.
	memoryRetryAfter = 250 * time.Millisecond
)

// errMemoryFull is the error of a body that doesn't fit into the memory budget.
var errMemoryFull = errors.New("memory budget is used up")

// memoryBudget shares a membudget.Budget between goroutines. If it is nil, memory is not bounded.
type memoryBudget struct {
	mu     sync.Mutex
	budget *membudget.Budget
}

func newMemoryBudget(s *Settings) *memoryBudget {
	if !s.Features.BoundedMemory || s.MemoryBytes == 0 {
		return nil
	}
	return &memoryBudget{budget: membudget.New(s.MemoryBytes)}
}

func (b *memoryBudget) take(c membudget.Class, n int64) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.Take(c, n)
}

func (b *memoryBudget) charge(c membudget.Class, n int64) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.Charge(c, n)
}

func (b *memoryBudget) giveBack(c membudget.Class, n int64) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.Return(c, n)
}

// trackConn is an http.Server.ConnState that charges open connections.
func (b *memoryBudget) trackConn(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		b.charge(membudget.Connections, connectionBytes)
	case http.StateClosed, http.StateHijacked:
		b.giveBack(membudget.Connections, connectionBytes)
	}
}

// responseBudget is the sendbuffer.Budget for what is kept for slow callers.
type responseBudget struct{ *memoryBudget }

func (b responseBudget) Take(n int) bool { return b.take(membudget.Responses, int64(n)) }
func (b responseBudget) Return(n int)    { b.giveBack(membudget.Responses, int64(n)) }

// requestMemory is what a request is charged.
type requestMemory struct {
	budget *memoryBudget
	bytes  int64
}

// grow charges more bytes to the request.
func (m *requestMemory) grow(n int64) bool {
	if !m.budget.take(membudget.Requests, n) {
		return false
	}
	m.bytes += n
	return true
}

// release ends the charge of a request that has been answered.
func (m *requestMemory) release() {
	m.budget.giveBack(membudget.Requests, m.bytes)
	m.bytes = 0
}

// reserveMemory charges the memory of a request whose body is about to be read. A body of
// unknown size is charged as it is read. If there is no room, the request is refused before it
// takes more: what has been accepted is served.
func (g *Gateway) reserveMemory(c *call) *Refusal {
	c.memory.budget = g.memory
	if c.memory.grow(requestBytes + bodyCopies*max(0, c.r.ContentLength)) {
		return nil
	}
	return g.memoryRefusal(c)
}

func (g *Gateway) memoryRefusal(c *call) *Refusal {
	g.memory.mu.Lock()
	defer g.memory.mu.Unlock()
	used := g.memory.budget
	logline.InfoSampled("memory_full", "request", c.ID, "route", routeName(c), "body_bytes", c.r.ContentLength, "budget", used.Total(),
		"connections", used.Used(membudget.Connections), "requests", used.Used(membudget.Requests),
		"responses", used.Used(membudget.Responses), "relays", used.Used(membudget.Relays))
	return unavailableRefusal("memory_full", memoryRetryAfter)
}

// readAll reads the body of a request, which must not be larger than limit.
func (g *Gateway) readAll(c *call, limit int64) ([]byte, error) {
	body := http.MaxBytesReader(c.w, c.r.Body, limit)
	switch {
	case g.memory == nil:
		return io.ReadAll(body)
	case c.r.ContentLength < 0:
		return io.ReadAll(&chargedReader{Reader: body, memory: &c.memory})
	}
	// A buffer that grows while it is read would take twice the memory for a time.
	buffer := bytes.NewBuffer(make([]byte, 0, c.r.ContentLength+bytes.MinRead))
	_, err := buffer.ReadFrom(body)
	return buffer.Bytes(), err
}

// chargedReader charges what is read from a body to its request.
type chargedReader struct {
	io.Reader
	memory *requestMemory
}

func (r *chargedReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	if n > 0 && !r.memory.grow(bodyCopies*int64(n)) {
		return 0, errMemoryFull
	}
	return n, err
}

// updateBudgetGauges sets the gauges of the memory budget.
func (g *Gateway) updateBudgetGauges() {
	if g.memory == nil {
		return
	}
	g.memory.mu.Lock()
	defer g.memory.mu.Unlock()
	b := g.memory.budget
	g.metrics.gauge(`mastictray_memory_budget_bytes`).Set(float64(b.Total()))
	g.metrics.gauge(`mastictray_memory_peak_bytes`).Set(float64(b.Peak()))
	for _, class := range membudget.Classes() {
		g.metrics.gauge(fmt.Sprintf(`mastictray_memory_used_bytes{class=%q}`, class)).Set(float64(b.Used(class)))
	}
}
