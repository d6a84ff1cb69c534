package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/mastictray/mastictray/internal/logline"
)

// finishUnanswered ends a request that no target has answered.
func (g *Gateway) finishUnanswered(ctx context.Context, c *call, s *responseRelay, refusal *Refusal) *Refusal {
	if c.r.Context().Err() != nil {
		g.metrics.left()
		logline.Info("caller_left", "request", c.ID, "route", routeName(c), "sent", c.sent, "target", c.tried, "after", g.clock.Now()-c.began)
		if !c.ran {
			g.refund(c)
		}
		return &Refusal{abort: true}
	}
	if s.started {
		return g.abortAnswer(c, s)
	}
	switch {
	case c.ran && ctx.Err() != nil:
		return &Refusal{Status: http.StatusGatewayTimeout, Reason: "deadline"}
	case c.ran:
		return &Refusal{Status: http.StatusBadGateway, Reason: "target_failed"}
	case refusal != nil:
		return refusal
	case ctx.Err() != nil:
		return &Refusal{Status: http.StatusServiceUnavailable, Reason: "deadline", NotRun: true}
	}
	return unavailable("targets_full", targetsFullRetry)
}

// targetsFullRetry is the hint when every target tried was full: a part of a second
// in which some of their requests end.
const targetsFullRetry = 250 * time.Millisecond

// abortAnswer ends an answer of which a part is out, so that it does not look
// complete.
func (g *Gateway) abortAnswer(c *call, s *responseRelay) *Refusal {
	g.metrics.brokenOff()
	logline.Info("broken_off", "request", c.ID, "route", c.route.Name, "account", accountName(c), "sent", c.sent,
		"target", c.tried, "events", s.eventCount, "last_event", s.lastEventID, "after", g.clock.Now()-c.began)
	return &Refusal{abort: true}
}

func (g *Gateway) logFailedAttempt(c *call, l *targetAttempt, result string, err error) {
	logline.Info("attempt_failed", "request", c.ID, "route", c.route.Name, "target", l.target.ID, "address", l.target.Address,
		"domain", l.target.Domain, "weights", l.choice.weightsVersion, "attempt", c.sent, "result", result, "error", err, "after", g.clock.Now()-c.began)
}

func (g *Gateway) logAnswered(c *call, s *responseRelay) {
	total := g.clock.Now() - c.began
	g.metrics.answered(c, s, total)
	logline.Sampled("answered", "request", c.ID, "route", c.route.Name, "account", accountName(c), "target", c.tried,
		"weights", c.choice.weightsVersion, "status", s.status, "attempts", c.sent, "events", s.eventCount, "queued", c.placedAt-c.began, "first", s.firstByteAfter, "after", total,
		"expected", c.choice.expectedTTFT, "cached_pieces", c.choice.cachedPieces, "uncached", c.choice.uncachedTokens, "targets", c.choice.eligibleTargets)
}
