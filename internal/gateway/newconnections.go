package gateway

import (
	"sync"
	"time"

	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/newconns"
)

// newConnections limits the new connections of callers; see newconns.
type newConnections struct {
	mu      sync.Mutex
	gate    newconns.Gate
	refused int
}

// admit decides whether to keep a new connection.
func (n *newConnections) admit(now time.Duration) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	ok := n.gate.Accept(now)
	if !ok {
		n.refused++
	}
	return ok
}

// isLimited reports whether some new connections are refused.
func (n *newConnections) isLimited() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.gate.Limited()
}

// rate returns the rate of new connections for the published state.
func (n *newConnections) rate() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.gate.Rate()
}

// tick updates the decision and logs when it changes.
func (n *newConnections) tick(now, lag time.Duration, peerRates []int) {
	n.mu.Lock()
	before := n.gate.Limited()
	n.gate.Tick(now, lag, peerRates)
	after, limit, rate, refused := n.gate.Limited(), n.gate.Limit(), n.gate.Rate(), n.refused
	if !after {
		n.refused = 0
	}
	n.mu.Unlock()
	if before != after {
		logline.Info("new_connections_limited", "limited", after, "rate", rate, "limit", limit, "lag", lag, "refused", refused)
	}
}

// newConnectionRates returns the rates that the reporting peers of the own failure domain publish.
func (p *peers) newConnectionRates() []int {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.g.clock.Now()
	var rates []int
	for _, s := range p.known {
		if s.Domain == p.g.self.Domain && !s.state.Leaving && p.isFresh(now, s) {
			rates = append(rates, s.state.NewConnections)
		}
	}
	return rates
}
