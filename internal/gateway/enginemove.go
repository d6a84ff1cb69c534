package gateway

import (
	"time"

	"github.com/mastictray/mastictray/internal/logline"
)

// moveAfter is the time from the announcement of a load until the streams that
// still run on the target are moved: as long as new requests may still arrive
// there, and most short answers end meanwhile.
const moveAfter = 200 * time.Millisecond

// mobility says whether an attempt that this instance ends may go elsewhere.
type mobility struct {
	// repeatable: it may run again.
	repeatable bool
	// resumable says whether it may be ended now to be resumed elsewhere. If so
	// it has taken the attempt from the retry budget: of several streams that
	// move at once only those are ended whose resumption is paid for.
	resumable func() bool
}

func (g *Gateway) mobility(c *call) mobility {
	m := mobility{repeatable: c.route.Repeatable()}
	last := c.sendCount >= c.route.MaxAttempts
	budget := g.budget(c.service.Name)
	reserve := moveReserve * g.retryReserve(g.peers.fleetSize())
	m.resumable = func() bool {
		if !m.repeatable || last || g.draining.Load() || !g.mayResume(c) || !budget.TakeRetryAbove(reserve) {
			return false
		}
		c.retryCharged.Store(true)
		return true
	}
	return m
}

// mayResume says that the configuration in force still allows the request: its
// key may have been withdrawn, or its route moved, since it was sent.
func (g *Gateway) mayResume(c *call) bool {
	t := g.table.Load()
	if t == nil || g.feeds.anyUnreachable() {
		return false
	}
	route, ok := t.Match(c.Host, c.Path)
	if !ok || !leadsTo(route, c.service.Name) {
		return false
	}
	if !t.RequiresKey(route) {
		return true
	}
	_, ok = t.AccountByKeyHash(c.keyHash)
	return ok
}

// moveReserve is the part of the retry budget that moved streams leave for
// failures.
const moveReserve = 0.5

// noteLoading notes since when targets load. The caller holds p.mu.
func (p *enginePool) noteLoading() {
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
		if !loads || now-since < moveAfter || !pl.prefilled || p.pool.EligibleCount() == 0 || !pl.resumable() {
			continue
		}
		logline.Info("stream_moved", "target", pl.target.ID, "ran", now-pl.send.SentAt)
		pl.withdrawn = true
		pl.cut()
		delete(p.running, pl)
	}
}
