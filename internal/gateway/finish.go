package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/mastictray/mastictray/internal/logline"
)

// finishUnanswered ends a request that no target has answered completely.
func (g *Gateway) finishUnanswered(ctx context.Context, c *call, relay *responseRelay, refusal *Refusal) *Refusal {
	if c.r.Context().Err() != nil {
		g.metrics.callerLeft()
		logline.Info("caller_left", "request", c.ID, "route", routeName(c), "sent", c.sendCount, "target", c.lastTarget, "after", g.clock.Now()-c.startedAt)
		if !c.mayHaveRun {
			g.refund(c)
		}
		return &Refusal{abort: true}
	}
	if relay.started {
		return g.abortAnswer(c, relay)
	}
	switch {
	case c.mayHaveRun && g.answering.Err() != nil:
		return &Refusal{Status: http.StatusGatewayTimeout, Reason: "draining"}
	case c.mayHaveRun && ctx.Err() != nil:
		return &Refusal{Status: http.StatusGatewayTimeout, Reason: "deadline"}
	case c.mayHaveRun:
		return &Refusal{Status: http.StatusBadGateway, Reason: "target_failed"}
	case refusal != nil:
		return refusal
	case g.answering.Err() != nil:
		return unavailableRefusal("draining", drainingRetryAfter)
	case ctx.Err() != nil:
		return &Refusal{Status: http.StatusServiceUnavailable, Reason: "deadline", NotRun: true}
	}
	return noTargetRefusal("targets_full", g.pauseLeft(c), targetsFullRetry)
}

// targetsFullRetry is the Retry-After hint when every target tried was full. Some of their
// running requests end within that time.
const targetsFullRetry = 250 * time.Millisecond

// abortAnswer aborts a response that has been sent in part, so that it does not look
// complete.
func (g *Gateway) abortAnswer(c *call, relay *responseRelay) *Refusal {
	g.metrics.answerAborted()
	logline.Info("broken_off", "request", c.ID, "route", c.route.Name, "account", accountName(c), "sent", c.sendCount,
		"target", c.lastTarget, "events", relay.eventCount, "last_event", relay.lastEventID, "after", g.clock.Now()-c.startedAt)
	return &Refusal{abort: true}
}

func (g *Gateway) logFailedAttempt(c *call, a *targetAttempt, result string, err error) {
	logline.Info("attempt_failed", "request", c.ID, "route", c.route.Name, "target", a.target.ID, "address", a.target.Address,
		"domain", a.target.Domain, "software", a.target.SoftwareVersion, "weights", a.choice.weightsVersion, "attempt", c.sendCount, "result", result, "relay", a.relay, "path_failed", a.pathFailed, "error", err, "after", g.clock.Now()-c.startedAt)
}

func (g *Gateway) logAnswered(c *call, relay *responseRelay) {
	total := g.clock.Now() - c.startedAt
	g.metrics.answered(c, relay, total)
	logline.InfoSampled("answered", "request", c.ID, "route", c.route.Name, "account", accountName(c), "target", c.lastTarget, "relay", c.lastRelay,
		"weights", c.choice.weightsVersion, "status", relay.status, "attempts", c.sendCount, "events", relay.eventCount, "queued", c.placedAt-c.startedAt, "first", relay.firstByteAfter, "longest_gap", relay.longestGap, "after", total,
		"expected", c.choice.expectedTTFT, "cached_pieces", c.choice.cachedPieces, "uncached", c.choice.uncachedTokens, "targets", c.choice.eligibleTargets)
}

// logStreamContinued logs the first event of an attempt that continues a stream of which the caller
// has a part, from this attempt of the caller or an earlier one.
func (g *Gateway) logStreamContinued(c *call, relay *responseRelay, a *targetAttempt) {
	g.metrics.streamContinued(c)
	logline.Info("stream_continued", "request", c.ID, "resumes", c.Resumes, "route", c.route.Name, "target", a.target.ID, "service", a.target.Service,
		"software", a.target.SoftwareVersion, "after_event", relay.resumeAfter(), "moved", a.continueFrom != "", "after", g.clock.Now()-c.startedAt)
}
