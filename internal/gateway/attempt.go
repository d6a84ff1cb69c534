package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/canary"
	"github.com/mastictray/mastictray/internal/connrelay"
	"github.com/mastictray/mastictray/internal/directory"
	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/overload"
	"github.com/mastictray/mastictray/internal/targetconn"
	"github.com/mastictray/mastictray/internal/targetlimit"
)

// runAttempt sends the request to one target and relays its response.
func (g *Gateway) runAttempt(ctx context.Context, c *call, a *targetAttempt, relay *responseRelay) outcome {
	c.lastTarget, c.choice = a.target.ID, a.choice
	c.placedAt = g.clock.Now()
	conn, err := g.targets.Get(ctx, a.target.Address, g.maxConnIdle(c))
	if err != nil {
		if ctx.Err() != nil {
			a.onEnd(overload.Cancelled)
		} else {
			a.onUnreachable(err)
			a.onEnd(overload.Failed)
		}
		g.logFailedAttempt(c, a, "not_sent", err)
		return outcomeNotSent
	}
	if !conn.Reused() {
		g.reach.reached(a.target.Domain)
	}
	c.sendCount++
	a.relay = connrelay.RelayOf(conn.NetConn())
	c.lastRelay = a.relay
	c.generation.begin(a)
	conn.KeepReceiving(g.limits.bearsFewRejections(&a.target))
	a.onSend(conn.Cancel, a.relay, g.cancelPolicyFor(c))
	stop := context.AfterFunc(ctx, conn.Cancel)
	result, err := g.roundTrip(ctx, c, a, relay, conn)
	result = c.generation.resolve(ctx, result)
	if !stop() {
		conn.MarkBroken()
	}
	// End the attempt before its connection returns to the pool. Cancelling it later would
	// close a connection that may serve another request by then.
	var counted overload.Result
	counted, a.pathFailed = g.attemptResult(ctx, a, conn, result, err)
	abandoned := result != outcomeDelivered && result != outcomeNotRun && g.limits.abandon(&a.target)
	a.onEnd(counted)
	switch {
	case abandoned:
		go g.releaseAbandoned(conn, &loanTarget{c.service.Name, a.target})
	case result == outcomeDelivered:
		if err == nil {
			g.noteAnswer(c, a, true)
		}
		g.targets.Put(conn)
	default:
		conn.Close()
	}
	if result != outcomeDelivered && result != outcomeStopped {
		g.logFailedAttempt(c, a, result.String(), err)
		if !a.pathFailed && !a.memoryFailed {
			g.recordCrash(ctx, c, a, relay, result, err)
		}
	}
	return result
}

// abandonedTimeout is how long a request that was given up takes room at a target that does not
// close its connection.
const abandonedTimeout = 10 * time.Second

// releaseAbandoned closes the connection of a request that was given up, and releases the room that
// it takes at its target.
func (g *Gateway) releaseAbandoned(conn *targetconn.Conn, t *loanTarget) {
	startedAt := g.clock.Now()
	if !conn.AwaitClose(abandonedTimeout) {
		logline.InfoSampled("abandoned_unconfirmed", "target", t.ID, "born", t.StartedMs, "waited", g.clock.Now()-startedAt)
		if left := startedAt + abandonedTimeout - g.clock.Now(); left > 0 {
			time.Sleep(left) // a relayed connection doesn't tell
		}
	}
	g.limits.release(t.Incarnation())
	g.returnUnusedLoans(t)
}

// observeAttempt records the outcome of an attempt for a rollout of its service's software.
// Outcomes that say nothing about the software don't count: the target did not get the request or
// did not run it, or the caller or this instance ended it.
func (g *Gateway) observeAttempt(ctx context.Context, c *call, a *targetAttempt, relay *responseRelay, eventsBefore int, result outcome) {
	sample := canary.Sample{Route: hashID(c.route.Name), Target: hashID(a.target.ID)}
	switch {
	case result == outcomeNotRun || result == outcomeNotSent || result == outcomeStopped:
		return
	case a.pathFailed || a.relay != "": // a relayed attempt has been slowed by its path
		return
	case a.cancelledHere() || g.answering.Err() != nil && result != outcomeDelivered:
		return
	case errors.Is(ctx.Err(), context.Canceled):
		// The caller has left. If it waited for long without any byte, the answer was slow.
		waited, expected := g.clock.Now()-c.placedAt, g.expectedLatency(c, a)
		if relay.eventCount > eventsBefore || relay.started || waited < slowWaitFactor*expected {
			return
		}
		sample.Bucket = canary.Bucket(waited, expected)
	case result != outcomeDelivered || relay.status >= http.StatusBadRequest:
		sample.Failed = true
	case eventsBefore > 0:
		return // the rest of a stream has no first event to measure
	default:
		sample.Bucket = canary.Bucket(relay.firstByteAfter+c.startedAt-c.placedAt, g.expectedLatency(c, a))
	}
	g.canaries.observe(c.service.Name, a.target.SoftwareVersion, c.rolloutPhase, sample)
}

// slowWaitFactor is the multiple of the expected latency from which a wait that the caller ended
// counts as an answer of that latency.
const slowWaitFactor = 2

// expectedLatency returns the time to the first byte that is usual for an attempt: for prompts by
// their size, what is cached, and the queue at the target; for others the route's objective.
func (g *Gateway) expectedLatency(c *call, a *targetAttempt) time.Duration {
	if c.service.Engine == nil {
		return c.route.LatencyObjective
	}
	return a.choice.expectedTTFT + g.engineServiceOf(c).firstTokenLatency()
}

// errServerError marks a response in which the target reports a failure of its own.
var errServerError = errors.New("target: server error")

// breakerResult returns the result of an attempt for the target's circuit breaker.
func breakerResult(ctx context.Context, result outcome, err error) overload.Result {
	switch {
	case result == outcomeDelivered && !errors.Is(err, errServerError):
		return overload.Succeeded
	case ctx.Err() != nil && errors.Is(ctx.Err(), context.Canceled):
		return overload.Cancelled
	case result == outcomeNotRun || result == outcomeStopped:
		// The target is full or leaving, not failing.
		return overload.Cancelled
	}
	return overload.Failed
}

// maxConnIdle returns the maximum idle time of a pooled connection that may be used for the
// request. A request that may not be retried needs a connection that the target cannot have
// closed for idleness: after a reset it is unknown whether the request ran.
func (g *Gateway) maxConnIdle(c *call) time.Duration {
	if c.route.Repeatable() {
		return maxIdleRepeatable
	}
	return maxIdleNonRepeatable
}

const (
	maxIdleRepeatable = time.Minute
	// maxIdleNonRepeatable is below the shortest time after which servers were seen to drop
	// an idle connection without notice, 300 ms. A booking sent on such a connection is
	// reset, and its caller cannot know whether it ran. With servers that do this, 11 of
	// 7,500 requests failed in this way at a limit of 1.5 s and 6 at this one, which opens
	// 3% more connections.
	maxIdleNonRepeatable = 250 * time.Millisecond
)

// roundTrip sends the request on a connection and relays the response.
func (g *Gateway) roundTrip(ctx context.Context, c *call, a *targetAttempt, relay *responseRelay, conn *targetconn.Conn) (outcome, error) {
	params := g.targetParams(c, a, relay)
	a.savesToStore, a.cacheScope = params.SaveTo != "", params.CacheScope
	req := &targetconn.Request{
		Method: c.Method, URI: c.URI, Host: c.Host, Body: c.Body, Header: g.dialect.Encode(c.Request, params),
	}
	resp, err := g.send(ctx, c, conn, req)
	if err != nil {
		return outcomeUnknown, err
	}
	// The body is not closed: that would read it to its end, which may never come. Unless the response
	// is delivered whole, the connection is closed.
	info := g.dialect.Inspect(resp)
	if info.Limit != (targetlimit.Limit{}) || info.Signed || info.NotRun {
		g.limits.observe(c.placedAt, &a.target, info.Limit)
	}
	if info.NotRun {
		g.recordRejection(c, &a.target)
	}
	if info.Leaving && (info.Signed || info.NotRun) {
		g.recordLeaving(c, a.target.Incarnation())
	}
	if info.NotRun || info.Pause > 0 { // a pause that is not meant costs little
		g.recordRefusal(c, a.target.Incarnation(), info.Pause)
	}
	if info.WeightsVersion > 0 && c.Prompt != nil {
		g.engineServiceOf(c).recordServedVersion(a.target.Incarnation(), c.Prompt.Model, info.WeightsVersion)
	}
	switch {
	case info.NotRun:
		return outcomeNotRun, errors.Newf("target did not run the request: status %d", resp.StatusCode)
	case !info.Signed:
		return outcomeUnknown, errors.Newf("response without the target's signature: status %d", resp.StatusCode)
	case resp.StatusCode >= http.StatusInternalServerError && g.canRetryServerError(ctx, c):
		return outcomeUnknown, errors.Wrapf(errServerError, "status %d", resp.StatusCode)
	}
	return relay.relayResponse(ctx, a, conn, resp)
}

// recordRejection records that a target had no room for a request.
func (g *Gateway) recordRejection(c *call, target *directory.Registration) {
	v := g.limits.recordRejection(c.placedAt, target)
	if !v.limited {
		return
	}
	boundKnown := c.placedAt > v.boundSince
	g.metrics.limitedTargetRejected(v, boundKnown)
	now := g.clock.Now()
	logline.Info("target_rejected", "target", target.ID, "born", target.StartedMs, "request", c.ID, "sent", now-c.placedAt,
		"share", v.share, "slots", target.Slots, "fleet", v.fleet, "bound_known", boundKnown, "bound_age", now-v.boundSince, "uptime", now)
}

// recordRefusal records that a target refused a request as a whole, and the pause that it asked
// for; 0 for none.
func (g *Gateway) recordRefusal(c *call, id directory.Incarnation, pause time.Duration) {
	if pause > 0 {
		logline.Info("target_paused", "target", id.ID, "born", id.StartedMs, "pause", pause, "request", c.ID)
	}
	if c.service.Engine != nil {
		g.engineServiceOf(c).recordRefusal(id, pause)
	} else {
		g.plainServiceOf(c).recordRefusal(id, pause)
	}
}

// canRetryServerError reports whether a request that a target answered with a server error
// may be retried at another target, so that the error is not relayed.
func (g *Gateway) canRetryServerError(ctx context.Context, c *call) bool {
	return ctx.Err() == nil && c.route.Repeatable() && c.attempts() < c.route.MaxAttempts && !c.headWritten.Load() &&
		g.retryBudget(c.service.Name).Available() >= 1
}

// send writes the request and waits for the head of the response. If the request may be
// retried at another target, it waits for attemptTimeout only, because a target that hangs
// would otherwise take all the time until the deadline.
func (g *Gateway) send(ctx context.Context, c *call, conn *targetconn.Conn, req *targetconn.Request) (*http.Response, error) {
	if wait := g.attemptTimeout(c); wait > 0 {
		t := time.AfterFunc(wait, conn.Cancel)
		defer t.Stop()
	}
	return conn.Send(ctx, req, func(resp *http.Response) bool { return g.dialect.MatchesRequest(c.Request, resp) })
}

// attemptTimeout returns how long an attempt may wait for the head of its response before
// another target is tried; 0 means until the request's deadline.
func (g *Gateway) attemptTimeout(c *call) time.Duration {
	if c.service.Engine != nil || !c.route.Repeatable() || c.attempts() >= c.route.MaxAttempts {
		return 0
	}
	return max(minAttemptTimeout, min(c.route.LatencyObjective*attemptTimeoutObjectives, g.timeLeft(c)/2))
}

const (
	// minAttemptTimeout is far above the usual response time.
	minAttemptTimeout = 60 * time.Millisecond
	// attemptTimeoutObjectives is the number of latency objectives after which a response
	// has lost so much of its value that another target is tried.
	attemptTimeoutObjectives = 1
)

// expectedWeights returns the weights version that a target is expected to answer the
// request with; 0 if it is unknown.
func expectedWeights(c *call, t *directory.Registration) int64 {
	if c.Prompt == nil {
		return 0
	}
	return t.Versions[c.Prompt.Model]
}

// targetParams returns what is sent to the target with the request.
func (g *Gateway) targetParams(c *call, a *targetAttempt, relay *responseRelay) TargetParams {
	params := TargetParams{
		Target: a.target.ID, Account: accountName(c), Timeout: g.timeLeft(c), Urgency: g.urgency(c),
		FetchFrom: a.fetchSource, LastEventID: relay.resumeAfter(), ContinueFrom: a.continueFrom,
	}
	if c.Prompt != nil {
		// Pieces computed with one weights version must not be used with another, nor those
		// of an isolated account by others. Targets check neither versions nor accounts
		// when they fetch pieces, so the scope names both, and the target must have the
		// version that the scope names.
		params.WeightsVersion = expectedWeights(c, &a.target)
		params.CacheScope = strconv.FormatInt(params.WeightsVersion, 10) + "/" + cacheScope(c)
		if a.continueFrom != "" {
			return params // the copy has the whole prompt
		}
		plan := g.cache.plan(params.CacheScope, sharedPieceHashes(c), pieceTokens(c))
		// All targets share the link of the store, while each target has a link of its own.
		// The store is therefore used only if it is known to have more pieces than the
		// fetch source.
		if plan.storedPieces > a.fetchSourcePieces {
			params.FetchFrom = plan.address
		}
		if plan.save {
			params.SaveTo = plan.address
		}
	}
	return params
}
