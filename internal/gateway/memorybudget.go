package gateway

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/mastictray/mastictray/internal/callerlimit"
	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/membudget"
)

const (
	// connectionBytes is the memory of a caller's connection: the buffers of the HTTP server,
	// the stack of its goroutine and one block for a slow caller.
	connectionBytes = 16 << 10
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

// newMemory returns the budget of this instance. Only with bounded memory are responses kept for
// slow callers.
func newMemory(s *Settings) *callerlimit.Memory {
	if s.Features.BoundedMemory {
		return callerlimit.NewMemory(s.MemoryBytes)
	}
	return callerlimit.NewMemory(s.MemoryBytes, membudget.Responses)
}

// responseBudget is the sendbuffer.Budget for what is kept for slow callers.
type responseBudget struct{ *callerlimit.Memory }

func (b responseBudget) Take(n int) bool { return b.Memory.Take(membudget.Responses, int64(n)) }
func (b responseBudget) Return(n int)    { b.Memory.Return(membudget.Responses, int64(n)) }

func (g *Gateway) memoryRefusal(c *call) *Refusal {
	use := g.memory.Use()
	logline.InfoSampled("memory_full", "request", c.ID, "route", routeName(c), "body_bytes", c.r.ContentLength, "budget", use.Total,
		"connections", use.Used[membudget.Connections], "requests", use.Used[membudget.Requests],
		"responses", use.Used[membudget.Responses], "relays", use.Used[membudget.Relays])
	return unavailableRefusal("memory_full", memoryRetryAfter)
}

// trackConn is an http.Server.ConnState that charges open connections.
func (g *Gateway) trackConn(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		g.memory.Charge(membudget.Connections, connectionBytes)
	case http.StateClosed, http.StateHijacked:
		g.memory.Return(membudget.Connections, connectionBytes)
	}
}

// updateBudgetGauges sets the gauges of the memory budget.
func (g *Gateway) updateBudgetGauges() {
	if g.memory == nil {
		return
	}
	use := g.memory.Use()
	g.metrics.gauge(`mastictray_memory_budget_bytes`).Set(float64(use.Total))
	g.metrics.gauge(`mastictray_memory_peak_bytes`).Set(float64(use.Peak))
	for class, bytes := range use.Used {
		g.metrics.gauge(fmt.Sprintf(`mastictray_memory_used_bytes{class=%q}`, class)).Set(float64(bytes))
	}
}
