package gateway

import (
	"time"

	"github.com/mastictray/mastictray/internal/logline"
)

// streamMoveDelay is the time from the announcement of a load until the streams that
// still run on the target are moved: as long as new requests may still arrive
// there, and most short answers end meanwhile.
const streamMoveDelay = 200 * time.Millisecond

// cancelPolicy says whether an attempt that this instance ends may go elsewhere.
type cancelPolicy struct {
	// repeatable: it may run again.
	repeatable bool
	// reserveResume says whether it may be ended now to be resumed elsewhere. If so
	// it has taken the attempt from the retry budget: of several streams that
	// move at once only those are ended whose resumption is paid for.
	reserveResume func() bool
}

func (g *Gateway) cancelPolicyFor(c *call) cancelPolicy {
	m := cancelPolicy{repeatable: c.route.Repeatable()}
	last := c.sent >= c.route.MaxAttempts
	budget := g.retryBudget(c.service.Name)
	reserve := streamMoveReserve * g.retryReserve(g.peers.fleetSize())
	m.reserveResume = func() bool {
		if !m.repeatable || last || g.closing.Load() || !g.resumeAllowed(c) || !budget.TakeRetryAbove(reserve) {
			return false
		}
		c.prepaid.Store(true)
		return true
	}
	return m
}

// resumeAllowed says that the configuration in force still allows the request: its
// key may have been withdrawn, or its route moved, since it was sent.
func (g *Gateway) resumeAllowed(c *call) bool {
	t := g.table.Load()
	if t == nil || g.feeds.cut() {
		return false
	}
	route, ok := t.Match(c.Host, c.Path)
	if !ok || !routeIncludes(route, c.service.Name) {
		return false
	}
	if !t.RequiresKey(route) {
		return true
	}
	_, ok = t.AccountByKeyHash(c.keyHash)
	return ok
}

// streamMoveReserve is the part of the retry budget that moved streams leave for
// failures.
const streamMoveReserve = 0.5

// trackLoading notes since when targets load. The caller holds p.mu.
func (p *enginePool) trackLoading() {
	for id := range p.loadingSince {
		if !p.loading[id] {
			delete(p.loadingSince, id)
		}
	}
	for id := range p.loading {
		if _, known := p.loadingSince[id]; !known {
			p.loadingSince[id] = p.now()
		}
	}
}

// moveStreams ends the running streams on targets that are about to load, where
// they can be resumed on another one. A load waits for all that runs on its
// target, which takes several times as long as the load itself. The caller holds
// p.mu.
func (p *enginePool) moveStreams() {
	now := p.now()
	for pl := range p.running {
		since, loads := p.loadingSince[pl.target.ID]
		if !loads || now-since < streamMoveDelay || !pl.firstTokenSeen || p.pool.EligibleCount() == 0 || !pl.reserveResume() {
			continue
		}
		logline.Info("stream_moved", "target", pl.target.ID, "ran", now-pl.send.SentAt)
		pl.cancelledHere = true
		pl.cancel()
		delete(p.running, pl)
	}
}
