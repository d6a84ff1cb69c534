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
	// delivered: the answer went to the caller, whole.
	delivered outcome = iota
	// broken: a part of the answer went out and no more will come.
	broken
	// notRun: the target has proved that it did not run the request.
	notRun
	// unknown: the target may have run it.
	unknown
	// notSent: no byte reached the target.
	notSent
)

// forward sends the request to targets until one has answered.
func (g *Gateway) forward(ctx context.Context, c *call) *Refusal {
	name := c.route.ChooseService(g.newRand())
	service, ok := c.table.Service(name)
	if !ok {
		return unavailableRefusal("no_service", notReadyRetryAfter)
	}
	c.service = service
	g.budget(name).AddRequest()
	s := &relay{g: g, c: c}
	unsent := 0
	for {
		l, refusal := g.place(ctx, c)
		if l == nil {
			return g.giveUp(ctx, c, s, refusal)
		}
		if refusal := g.recheck(c); refusal != nil {
			l.ended(overload.Cancelled)
			return g.giveUp(ctx, c, s, refusal)
		}
		result := g.attempt(ctx, c, l, s)
		switch result {
		case delivered:
			g.logAnswered(c, s)
			return nil
		case broken:
			return g.breakOff(c, s)
		case notSent:
			if unsent++; unsent < maxUnsent && ctx.Err() == nil {
				continue
			}
			return g.giveUp(ctx, c, s, nil)
		case unknown:
			c.mayHaveRun = true
		}
		if !g.mayRepeat(ctx, c) {
			return g.giveUp(ctx, c, s, nil)
		}
	}
}

// maxUnsent bounds the targets that take no connection: after so many the
// service, or the link to it, is down.
const maxUnsent = 4

// mayRepeat says whether the request may be sent to another target.
func (g *Gateway) mayRepeat(ctx context.Context, c *call) bool {
	if ctx.Err() != nil || c.sendCount >= max(1, c.route.MaxAttempts) {
		return false
	}
	if c.mayHaveRun && !c.route.Repeatable() {
		return false
	}
	return c.retryCharged.Swap(false) || g.budget(c.service.Name).TakeRetry()
}

// recheck looks again at what may have changed while the request waited: the
// configuration, the key, and the time, which does not stand still while the
// machine is suspended.
func (g *Gateway) recheck(c *call) *Refusal {
	if c.deadline > 0 && g.clock.Now() >= c.deadline {
		return &Refusal{Status: http.StatusServiceUnavailable, Reason: "deadline", NotRun: true}
	}
	if t := g.table.Load(); t != c.table {
		route, ok := t.Match(c.Host, c.Path)
		if !ok {
			return g.unknownRefusal(http.StatusNotFound, "no_route")
		}
		c.table, c.route = t, route
		if !routesTo(c) {
			return unavailableRefusal("route_moved", movedRetry)
		}
	}
	return g.authorize(c)
}

// movedRetry is the hint when a route moved to another service while its
// request waited.
const movedRetry = 50 * time.Millisecond

// routesTo says whether the route still leads to the request's service.
func routesTo(c *call) bool { return leadsTo(c.route, c.service.Name) }

func leadsTo(r *routing.Route, service string) bool {
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
