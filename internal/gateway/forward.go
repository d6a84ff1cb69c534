package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/mastictray/mastictray/internal/overload"
	"github.com/mastictray/mastictray/internal/routing"
)

// outcome is the result of an attempt.
type outcome int

const (
	// outcomeDelivered: the whole response has been relayed to the caller.
	outcomeDelivered outcome = iota
	// outcomeTruncated: a part of the response has been relayed and the rest will not
	// follow.
	outcomeTruncated
	// outcomeNotRun: the target has proved that it did not run the request.
	outcomeNotRun
	// outcomeUnknown: the target may have run the request.
	outcomeUnknown
	// outcomeNotSent: no byte of the request has reached the target.
	outcomeNotSent
	// outcomeNoTarget: no target was chosen.
	outcomeNoTarget
	// outcomeStopped: the target has stopped the run so that it goes on at another target.
	outcomeStopped
)

// forward sends the request to one target after another until one has answered.
func (g *Gateway) forward(ctx context.Context, c *call) *Refusal {
	if refusal := g.chooseService(ctx, c); refusal != nil {
		return refusal
	}
	g.retryBudget(c.service.Name).AddRequest()
	relay := &responseRelay{g: g, c: c}
	complete := false
	defer func() { g.endStream(c, complete) }()
	c.generation = g.newGeneration(c)
	defer c.generation.end()
	unsent := 0
	for {
		result, refusal := g.attemptOnce(ctx, c, relay)
		for result == outcomeStopped {
			result = g.continueRun(ctx, c, relay)
		}
		switch result {
		case outcomeNoTarget:
			return g.finishUnanswered(ctx, c, relay, refusal)
		case outcomeDelivered:
			complete = true
			g.logAnswered(c, relay)
			return nil
		case outcomeTruncated:
			return g.abortAnswer(c, relay)
		case outcomeNotSent:
			if unsent++; unsent < maxUnsentAttempts && ctx.Err() == nil {
				continue
			}
			return g.finishUnanswered(ctx, c, relay, nil)
		case outcomeNotRun:
			c.refusedBy = append(c.refusedBy, c.lastTarget)
			if relay.started || g.canBeOnTime(c) {
				c.refusedCount++
			}
		case outcomeUnknown:
			c.mayHaveRun = true
		}
		if !g.takeRetry(ctx, c) {
			return g.finishUnanswered(ctx, c, relay, nil)
		}
	}
}

// attemptOnce makes one attempt, at a canary or at a stable target. It returns outcomeNoTarget
// and possibly a refusal if the request was not sent because no target may get it.
func (g *Gateway) attemptOnce(ctx context.Context, c *call, relay *responseRelay) (outcome, *Refusal) {
	toCanary, phase, release := g.canaries.draw(c.service.Name, c.sendCount > 0, g.newRand().Float64())
	defer func() { release() }()
	c.toCanary, c.rolloutPhase = toCanary, phase
	a, refusal := g.chooseTarget(ctx, c)
	if a == nil && refusal != nil && toCanary {
		// An old target is better than none.
		release = g.canaries.beginStable(c.service.Name)
		c.toCanary = false
		a, refusal = g.chooseTarget(ctx, c)
	}
	if a == nil {
		return outcomeNoTarget, refusal
	}
	if refusal := g.revalidate(c); refusal != nil {
		a.onEnd(overload.Cancelled)
		return outcomeNoTarget, refusal
	}
	eventsBefore := relay.eventCount
	result := g.runAttempt(ctx, c, a, relay)
	g.observeAttempt(ctx, c, a, relay, eventsBefore, result)
	return result, nil
}

// maxUnsentAttempts bounds the targets of one request that accept no connection. After that
// many, the service or the link to it is down.
const maxUnsentAttempts = 4

// maxRefusals is the number of refusals by targets that don't count as attempts. A route limits
// the targets that may run a request, and a target that refuses one hasn't run it. The retry
// budget still bounds how often requests are sent again.
const maxRefusals = 3

// canBeOnTime reports whether an answer may still meet the route's objective. A request that was
// refused later than that has waited in the queue of an overloaded target; others are served
// sooner if it isn't sent again.
func (g *Gateway) canBeOnTime(c *call) bool {
	return c.route.LatencyObjective == 0 || g.clock.Now() < c.startedAt+c.route.LatencyObjective
}

// attempts returns the number of times the request was sent that count towards its route's limit.
// A run that goes on at another target is still the same run.
func (c *call) attempts() int {
	return c.sendCount - c.continuationCount - min(c.refusedCount, maxRefusals)
}

// takeRetry reports whether the request may be sent to another target. If so, it has taken
// the retry from the budget, unless reserveResume has already done so.
func (g *Gateway) takeRetry(ctx context.Context, c *call) bool {
	if ctx.Err() != nil || c.attempts() >= max(1, c.route.MaxAttempts) {
		return false
	}
	if c.mayHaveRun && (!c.route.Repeatable() || c.probesPiece) {
		return false
	}
	return c.retryCharged.Swap(false) || g.retryBudget(c.service.Name).TakeRetry()
}

// revalidate checks again what may have changed while the request waited: the
// configuration, the key, the deadline, and the pieces of prompts that crash targets. The
// clock shows whether the deadline has passed while the machine was suspended.
func (g *Gateway) revalidate(c *call) *Refusal {
	if c.deadline > 0 && g.clock.Now() >= c.deadline {
		return &Refusal{Status: http.StatusServiceUnavailable, Reason: "deadline", NotRun: true}
	}
	if t := g.table.Load(); t != c.table {
		route, ok := t.Match(c.Host, c.Path)
		if !ok {
			return g.unknownRefusal(http.StatusNotFound, "no_route")
		}
		c.table, c.route = t, route
		if !routesToService(c) {
			return unavailableRefusal("route_moved", routeMovedRetry)
		}
	}
	if refusal := g.checkPieces(c); refusal != nil {
		return refusal
	}
	return g.authorize(c)
}

// routeMovedRetry is the Retry-After hint when a route was moved to another service while
// its request waited.
const routeMovedRetry = 50 * time.Millisecond

// routesToService reports whether the route still includes the request's service.
func routesToService(c *call) bool { return routeIncludes(c.route, c.service.Name) }

// routeIncludes reports whether a route sends requests to a service.
func routeIncludes(r *routing.Route, service string) bool {
	for _, w := range r.Split {
		if w.Service == service && w.Weight > 0 {
			return true
		}
	}
	return false
}

func (o outcome) String() string {
	return [...]string{"delivered", "broken", "not_run", "unknown", "not_sent", "no_target", "stopped"}[o]
}
