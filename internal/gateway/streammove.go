package gateway

import (
	"time"

	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/overload"
)

// streamMoveDelay is the time from the announcement of a weights load until the streams
// that still run on the target are moved. New requests may arrive there for about as long,
// and most short responses end within that time.
const streamMoveDelay = 200 * time.Millisecond

// cancelPolicy says whether an attempt that this instance cancels may continue at another
// target.
type cancelPolicy struct {
	// repeatable is set if the request may run again.
	repeatable bool
	// reserveResume takes a retry from the budget so that the attempt can be cancelled now
	// and resumed at another target. It returns false if the attempt must not be cancelled.
	// When several streams are to be moved at once, only those that got a retry are
	// cancelled.
	reserveResume func() bool
	// generation lets the run go on elsewhere with its memory; nil if that isn't possible.
	generation *generation
}

// cancelPolicyFor returns the policy for the attempt that is being sent.
func (g *Gateway) cancelPolicyFor(c *call) cancelPolicy {
	policy := cancelPolicy{repeatable: c.route.Repeatable(), generation: c.generation}
	lastAttempt := c.attempts() >= c.route.MaxAttempts
	budget := g.newMoveBudget(c)
	policy.reserveResume = func() bool {
		return policy.repeatable && !lastAttempt && !g.draining.Load() && g.resumeAllowed(c) && budget.take()
	}
	return policy
}

// moveBudget takes the retries of a stream that is moved from the budget of its service. It needs
// no lock of the gateway.
type moveBudget struct {
	c       *call
	retries *overload.SharedRetryBudget
}

func (g *Gateway) newMoveBudget(c *call) moveBudget {
	return moveBudget{c: c, retries: g.retryBudget(c.service.Name)}
}

// reserve returns the number of retries that are left for failures. In a large fleet an instance may
// save up less than two retries: the reserve is a part of what exceeds one.
func (b moveBudget) reserve() float64 { return streamMoveReserve * max(0, b.retries.Reserve()-1) }

// take takes a retry for the next attempt.
func (b moveBudget) take() bool {
	if !b.retries.TakeRetryAbove(b.reserve()) {
		return false
	}
	b.c.retryCharged.Store(true)
	return true
}

// resumeAllowed reports whether the configuration in force still allows the request. Since
// it was sent, its key may have been withdrawn or its route may lead to another service.
func (g *Gateway) resumeAllowed(c *call) bool {
	t := g.table.Load()
	if t == nil || g.feeds.anyUnreachable() {
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

// streamMoveReserve is the fraction of the retry reserve that moved streams leave for
// failures.
const streamMoveReserve = 0.5

// trackLoading updates since when each target has been loading. The caller holds s.mu.
func (s *engineService) trackLoading() {
	for id := range s.loadingSince {
		if !s.loading[id] {
			delete(s.loadingSince, id)
		}
	}
	for id := range s.loading {
		if _, known := s.loadingSince[id]; !known {
			s.loadingSince[id] = s.now()
		}
	}
}

// moveStreams moves the streams on targets that are about to load weights or leave with their
// memory. Before a load, those that can't be moved are cancelled if they can be resumed at
// another target. A load waits for everything that runs on its target, which takes several times
// as long as the load itself. The caller holds s.mu.
func (s *engineService) moveStreams() {
	now := s.now()
	for pl := range s.running {
		reason := s.moveReason(now, pl)
		if reason == "" || !pl.firstTokenSeen {
			continue
		}
		if s.moveRun(now, pl, reason) || reason != moveBeforeLoad || !s.hasReplacement(pl) || !pl.reserveResume() {
			continue
		}
		logline.Info("stream_moved", "target", pl.target.ID, "ran", now-pl.send.SentAt)
		pl.cancelledHere = true
		pl.cancel()
		delete(s.running, pl)
	}
}
