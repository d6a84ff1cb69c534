package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/mastictray/mastictray/internal/logline"
)

// giveUp ends a request that no target has answered.
func (g *Gateway) giveUp(ctx context.Context, c *call, s *relay, refusal *Refusal) *Refusal {
	if c.r.Context().Err() != nil {
		g.metrics.callerLeft()
		logline.Info("caller_left", "request", c.ID, "route", routeName(c), "sent", c.sendCount, "target", c.lastTarget, "after", g.clock.Now()-c.startedAt)
		if !c.mayHaveRun {
			g.refund(c)
		}
		return &Refusal{abort: true}
	}
	if s.started {
		return g.breakOff(c, s)
	}
	switch {
	case c.mayHaveRun && ctx.Err() != nil:
		return &Refusal{Status: http.StatusGatewayTimeout, Reason: "deadline"}
	case c.mayHaveRun:
		return &Refusal{Status: http.StatusBadGateway, Reason: "target_failed"}
	case refusal != nil:
		return refusal
	case ctx.Err() != nil:
		return &Refusal{Status: http.StatusServiceUnavailable, Reason: "deadline", NotRun: true}
	}
	return unavailableRefusal("targets_full", fullRetry)
}

// fullRetry is the hint when every target tried was full: a part of a second
// in which some of their requests end.
const fullRetry = 250 * time.Millisecond

// breakOff ends an answer of which a part is out, so that it does not look
// complete.
func (g *Gateway) breakOff(c *call, s *relay) *Refusal {
	g.metrics.answerAborted()
	logline.Info("broken_off", "request", c.ID, "route", c.route.Name, "account", accountName(c), "sent", c.sendCount,
		"target", c.lastTarget, "events", s.events, "last_event", s.lastID, "after", g.clock.Now()-c.startedAt)
	return &Refusal{abort: true}
}

func (g *Gateway) logAttempt(c *call, l *leg, result string, err error) {
	logline.Info("attempt_failed", "request", c.ID, "route", c.route.Name, "target", l.target.ID, "address", l.target.Address,
		"domain", l.target.Domain, "weights", l.choice.weights, "attempt", c.sendCount, "result", result, "error", err, "after", g.clock.Now()-c.startedAt)
}

func (g *Gateway) logAnswered(c *call, s *relay) {
	total := g.clock.Now() - c.startedAt
	g.metrics.answered(c, s, total)
	logline.InfoSampled("answered", "request", c.ID, "route", c.route.Name, "account", accountName(c), "target", c.lastTarget,
		"weights", c.choice.weights, "status", s.status, "attempts", c.sendCount, "events", s.events, "queued", c.placedAt-c.startedAt, "first", s.firstAt, "after", total,
		"expected", c.choice.expected, "cached_pieces", c.choice.cached, "uncached", c.choice.uncached, "targets", c.choice.targets)
}
