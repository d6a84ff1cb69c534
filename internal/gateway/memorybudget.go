package gateway

import (
	"time"

	"github.com/mastictray/mastictray/internal/callerlimit"
	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/membudget"
)

const (
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
