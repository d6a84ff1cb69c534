package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/directory"
	"github.com/mastictray/mastictray/internal/overload"
	"github.com/mastictray/mastictray/internal/targetconn"
)

// runAttempt sends the request to one target and relays what comes.
func (g *Gateway) runAttempt(ctx context.Context, c *call, l *targetAttempt, s *responseRelay) outcome {
	c.tried, c.choice = l.target.ID, l.choice
	c.placedAt = g.clock.Now()
	conn, err := g.targets.Get(ctx, l.target.Address, g.maxConnIdle(c))
	if err != nil {
		if ctx.Err() != nil {
			l.onEnd(overload.Cancelled)
		} else {
			l.onUnreachable()
			l.onEnd(overload.Failed)
		}
		g.logFailedAttempt(c, l, "not_sent", err)
		return outcomeNotSent
	}
	c.sent++
	l.onSend(conn.Close, g.cancelPolicyFor(c))
	stop := context.AfterFunc(ctx, conn.Close)
	result, err := g.roundTrip(ctx, c, l, s, conn)
	if !stop() {
		conn.Break()
	}
	// Nobody may cut the connection once another request can have it.
	l.onEnd(breakerResult(ctx, result, err))
	if result == outcomeDelivered {
		g.targets.Put(conn)
	} else {
		conn.Close()
	}
	if result != outcomeDelivered {
		g.logFailedAttempt(c, l, result.String(), err)
		g.recordCrash(ctx, c, result, err)
	}
	return result
}

// errServerError marks an answer by which the target says that it failed.
var errServerError = errors.New("target: server error")

// breakerResult is what an attempt says of its target.
func breakerResult(ctx context.Context, result outcome, err error) overload.Result {
	switch {
	case result == outcomeDelivered && !errors.Is(err, errServerError):
		return overload.Succeeded
	case ctx.Err() != nil && errors.Is(ctx.Err(), context.Canceled):
		return overload.Cancelled
	case result == outcomeNotRun:
		// It is full or leaving, not broken.
		return overload.Cancelled
	}
	return overload.Failed
}

// maxConnIdle is the longest idle time of a connection for the request. One that
// may not be repeated takes a connection that cannot have been closed for
// idleness meanwhile: a reset would leave open whether it ran.
func (g *Gateway) maxConnIdle(c *call) time.Duration {
	if c.route.Repeatable() {
		return maxIdleRepeatable
	}
	return maxIdleNonRepeatable
}

const (
	maxIdleRepeatable = time.Minute
	// maxIdleNonRepeatable is under the shortest time after which servers were seen to
	// drop an idle connection without notice, 300 ms. A booking sent on one is
	// reset, and its caller cannot know whether it ran. With 1.5 s, 11 of 7,500
	// requests ended so while servers did that, with this 6, for 3% more
	// connections.
	maxIdleNonRepeatable = 250 * time.Millisecond
)

// roundTrip sends the request on a connection and relays the answer.
func (g *Gateway) roundTrip(ctx context.Context, c *call, l *targetAttempt, s *responseRelay, conn *targetconn.Conn) (outcome, error) {
	o := g.targetParams(c, l, s)
	l.savesToStore, l.cacheScope = o.SaveTo != "", o.CacheScope
	req := &targetconn.Request{
		Method: c.Method, URI: c.URI, Host: c.Host, Body: c.Body, Header: g.dialect.Encode(c.Request, o),
	}
	resp, err := g.send(ctx, c, conn, req)
	if err != nil {
		return outcomeUnknown, err
	}
	defer resp.Body.Close()
	verdict := g.dialect.Inspect(resp)
	if verdict.RateLimit > 0 || verdict.Signed || verdict.NotRun {
		g.limits.observe(c.placedAt, l.target.Incarnation(), verdict.RateLimit)
	}
	if verdict.WeightsVersion > 0 && c.Prompt != nil {
		g.engineOf(c).recordServedVersion(l.target.Incarnation(), c.Prompt.Model, verdict.WeightsVersion)
	}
	switch {
	case verdict.NotRun:
		if c.service.Engine != nil {
			g.engineOf(c).recordRefusal(l.target.Incarnation())
		}
		return outcomeNotRun, errors.Newf("status %d, not run", resp.StatusCode)
	case !verdict.Signed:
		return outcomeUnknown, errors.Newf("status %d without the target's signature", resp.StatusCode)
	case resp.StatusCode >= http.StatusInternalServerError && g.canRetryServerError(ctx, c):
		return outcomeUnknown, errors.Wrapf(errServerError, "status %d", resp.StatusCode)
	}
	return s.relayResponse(ctx, l, conn, resp)
}

// canRetryServerError says that a failure of the target may be tried elsewhere.
func (g *Gateway) canRetryServerError(ctx context.Context, c *call) bool {
	return ctx.Err() == nil && c.route.Repeatable() && c.sent < c.route.MaxAttempts && !c.wrote &&
		g.retryBudget(c.service.Name).Available() >= 1
}

// send writes the request and waits for the head of its answer. Where the
// request may be repeated and may go elsewhere, it waits for a part of the
// time only: a target that hangs says nothing until the deadline.
func (g *Gateway) send(ctx context.Context, c *call, conn *targetconn.Conn, req *targetconn.Request) (*http.Response, error) {
	if wait := g.attemptTimeout(c); wait > 0 {
		t := time.AfterFunc(wait, conn.Close)
		defer t.Stop()
	}
	return conn.Send(ctx, req, func(resp *http.Response) bool { return g.dialect.MatchesRequest(c.Request, resp) })
}

// attemptTimeout is how long an attempt may stay without an answer before another
// target is tried; 0 for as long as the request may.
func (g *Gateway) attemptTimeout(c *call) time.Duration {
	if c.service.Engine != nil || !c.route.Repeatable() || c.sent >= c.route.MaxAttempts {
		return 0
	}
	return max(minAttemptTimeout, min(c.route.LatencyObjective*attemptTimeoutObjectives, g.left(c)/2))
}

const (
	// minAttemptTimeout is far above the usual time of an answer.
	minAttemptTimeout = 60 * time.Millisecond
	// attemptTimeoutObjectives is the latency objectives after which an answer is worth
	// less by so much that another target is tried.
	attemptTimeoutObjectives = 1
)

// expectedWeights is the version of the weights that a target is expected to answer
// the request on; 0 when it is not known.
func expectedWeights(c *call, t *directory.Registration) int64 {
	if c.Prompt == nil {
		return 0
	}
	return t.Versions[c.Prompt.Model]
}

// targetParams is what goes with the request to the target.
func (g *Gateway) targetParams(c *call, l *targetAttempt, s *responseRelay) TargetParams {
	o := TargetParams{
		Target: l.target.ID, Account: accountName(c), Timeout: g.left(c), Urgency: urgency(c),
		FetchFrom: l.fetchSource, LastEventID: s.resumeAfter(),
	}
	if c.Prompt != nil {
		// Pieces made on one version must not serve another: targets look
		// neither at versions nor at accounts when they fetch. So the scope
		// names both, and the target must have the version that it names.
		o.WeightsVersion = expectedWeights(c, &l.target)
		o.CacheScope = strconv.FormatInt(o.WeightsVersion, 10) + "/" + cacheScope(c)
		plan := g.cache.plan(o.CacheScope, sharedPieceHashes(c), pieceTokens(c))
		// All targets share the store's link, and each has its own: the store is
		// asked only for pieces that it is known to hold beyond what the source
		// does.
		if plan.storedPieces > l.fetchSourcePieces {
			o.FetchFrom = plan.address
		}
		if plan.save {
			o.SaveTo = plan.address
		}
	}
	return o
}
