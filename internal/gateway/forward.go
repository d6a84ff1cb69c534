package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/mastictray/mastictray/internal/overload"
	"github.com/mastictray/mastictray/internal/routing"
)

// outcome is what became of an attempt.
type outcome int

const (
	// outcomeDelivered: the answer went to the caller, whole.
	outcomeDelivered outcome = iota
	// outcomeTruncated: a part of the answer went out and no more will come.
	outcomeTruncated
	// outcomeNotRun: the target has proved that it did not run the request.
	outcomeNotRun
	// outcomeUnknown: the target may have run it.
	outcomeUnknown
	// outcomeNotSent: no byte reached the target.
	outcomeNotSent
)

// forward sends the request to targets until one has answered.
func (g *Gateway) forward(ctx context.Context, c *call) *Refusal {
	name := c.route.ChooseService(g.source())
	service, ok := c.table.Service(name)
	if !ok {
		return unavailable("no_service", notReadyRetry)
	}
	c.service = service
	g.retryBudget(name).AddRequest()
	s := &responseRelay{g: g, c: c}
	unsent := 0
	for {
		l, refusal := g.chooseTarget(ctx, c)
		if l == nil {
			return g.finishUnanswered(ctx, c, s, refusal)
		}
		if refusal := g.revalidate(c); refusal != nil {
			l.onEnd(overload.Cancelled)
			return g.finishUnanswered(ctx, c, s, refusal)
		}
		result := g.runAttempt(ctx, c, l, s)
		switch result {
		case outcomeDelivered:
			g.logAnswered(c, s)
			return nil
		case outcomeTruncated:
			return g.abortAnswer(c, s)
		case outcomeNotSent:
			if unsent++; unsent < maxUnsentAttempts && ctx.Err() == nil {
				continue
			}
			return g.finishUnanswered(ctx, c, s, nil)
		case outcomeUnknown:
			c.ran = true
		}
		if !g.takeRetry(ctx, c) {
			return g.finishUnanswered(ctx, c, s, nil)
		}
	}
}

// maxUnsentAttempts bounds the targets that take no connection: after so many the
// service, or the link to it, is down.
const maxUnsentAttempts = 4

// takeRetry says whether the request may be sent to another target.
func (g *Gateway) takeRetry(ctx context.Context, c *call) bool {
	if ctx.Err() != nil || c.sent >= max(1, c.route.MaxAttempts) {
		return false
	}
	if c.ran && !c.route.Repeatable() {
		return false
	}
	return c.prepaid.Swap(false) || g.retryBudget(c.service.Name).TakeRetry()
}

// revalidate looks again at what may have changed while the request waited: the
// configuration, the key, and the time, which does not stand still while the
// machine is suspended.
func (g *Gateway) revalidate(c *call) *Refusal {
	if c.due > 0 && g.clock.Now() >= c.due {
		return &Refusal{Status: http.StatusServiceUnavailable, Reason: "deadline", NotRun: true}
	}
	if t := g.table.Load(); t != c.table {
		route, ok := t.Match(c.Host, c.Path)
		if !ok {
			return g.unknown(http.StatusNotFound, "no_route")
		}
		c.table, c.route = t, route
		if !routesToService(c) {
			return unavailable("route_moved", routeMovedRetry)
		}
	}
	return g.authorize(c)
}

// routeMovedRetry is the hint when a route moved to another service while its
// request waited.
const routeMovedRetry = 50 * time.Millisecond

// routesToService says whether the route still leads to the request's service.
func routesToService(c *call) bool { return routeIncludes(c.route, c.service.Name) }

func routeIncludes(r *routing.Route, service string) bool {
	for _, w := range r.Split {
		if w.Service == service && w.Weight > 0 {
			return true
		}
	}
	return false
}

func (o outcome) String() string {
	return [...]string{"delivered", "broken", "not_run", "unknown", "not_sent"}[o]
}
