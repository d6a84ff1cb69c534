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

// attempt sends the request to one target and relays what comes.
func (g *Gateway) attempt(ctx context.Context, c *call, l *leg, s *relay) outcome {
	c.tried, c.choice = l.target.ID, l.choice
	c.placedAt = g.clock.Now()
	conn, err := g.targets.Get(ctx, l.target.Address, g.freshFor(c))
	if err != nil {
		if ctx.Err() != nil {
			l.ended(overload.Cancelled)
		} else {
			l.unreachable()
			l.ended(overload.Failed)
		}
		g.logAttempt(c, l, "not_sent", err)
		return notSent
	}
	c.sent++
	l.sent(conn.Close, g.mobility(c))
	stop := context.AfterFunc(ctx, conn.Close)
	result, err := g.exchange(ctx, c, l, s, conn)
	if !stop() {
		conn.Break()
	}
	// Nobody may cut the connection once another request can have it.
	l.ended(verdictOn(ctx, result, err))
	if result == delivered {
		g.targets.Put(conn)
	} else {
		conn.Close()
	}
	if result != delivered {
		g.logAttempt(c, l, result.String(), err)
		g.noteCrash(ctx, c, result, err)
	}
	return result
}

// errServerError marks an answer by which the target says that it failed.
var errServerError = errors.New("target: server error")

// verdictOn is what an attempt says of its target.
func verdictOn(ctx context.Context, result outcome, err error) overload.Result {
	switch {
	case result == delivered && !errors.Is(err, errServerError):
		return overload.Succeeded
	case ctx.Err() != nil && errors.Is(ctx.Err(), context.Canceled):
		return overload.Cancelled
	case result == notRun:
		// It is full or leaving, not broken.
		return overload.Cancelled
	}
	return overload.Failed
}

// freshFor is the longest idle time of a connection for the request. One that
// may not be repeated takes a connection that cannot have been closed for
// idleness meanwhile: a reset would leave open whether it ran.
func (g *Gateway) freshFor(c *call) time.Duration {
	if c.route.Repeatable() {
		return longIdle
	}
	return shortIdle
}

const (
	longIdle = time.Minute
	// shortIdle is under the shortest time after which servers were seen to
	// drop an idle connection without notice, 300 ms. A booking sent on one is
	// reset, and its caller cannot know whether it ran. With 1.5 s, 11 of 7,500
	// requests ended so while servers did that, with this 6, for 3% more
	// connections.
	shortIdle = 250 * time.Millisecond
)

// exchange sends the request on a connection and relays the answer.
func (g *Gateway) exchange(ctx context.Context, c *call, l *leg, s *relay, conn *targetconn.Conn) (outcome, error) {
	o := g.outgoing(c, l, s)
	l.saves, l.scope = o.SaveTo != "", o.CacheScope
	req := &targetconn.Request{
		Method: c.Method, URI: c.URI, Host: c.Host, Body: c.Body, Header: g.dialect.Encode(c.Request, o),
	}
	resp, err := g.send(ctx, c, conn, req)
	if err != nil {
		return unknown, err
	}
	defer resp.Body.Close()
	verdict := g.dialect.Inspect(resp)
	if verdict.RateLimit > 0 || verdict.Signed || verdict.NotRun {
		g.limits.observe(c.placedAt, l.target.Incarnation(), verdict.RateLimit)
	}
	if verdict.WeightsVersion > 0 && c.Prompt != nil {
		g.engineOf(c).served(l.target.Incarnation(), c.Prompt.Model, verdict.WeightsVersion)
	}
	switch {
	case verdict.NotRun:
		if c.service.Engine != nil {
			g.engineOf(c).refused(l.target.Incarnation())
		}
		return notRun, errors.Newf("status %d, not run", resp.StatusCode)
	case !verdict.Signed:
		return unknown, errors.Newf("status %d without the target's signature", resp.StatusCode)
	case resp.StatusCode >= http.StatusInternalServerError && g.worthRepeating(ctx, c):
		return unknown, errors.Wrapf(errServerError, "status %d", resp.StatusCode)
	}
	return s.answer(ctx, l, conn, resp)
}

// worthRepeating says that a failure of the target may be tried elsewhere.
func (g *Gateway) worthRepeating(ctx context.Context, c *call) bool {
	return ctx.Err() == nil && c.route.Repeatable() && c.sent < c.route.MaxAttempts && !c.wrote &&
		g.budget(c.service.Name).Available() >= 1
}

// send writes the request and waits for the head of its answer. Where the
// request may be repeated and may go elsewhere, it waits for a part of the
// time only: a target that hangs says nothing until the deadline.
func (g *Gateway) send(ctx context.Context, c *call, conn *targetconn.Conn, req *targetconn.Request) (*http.Response, error) {
	if wait := g.tryTime(c); wait > 0 {
		t := time.AfterFunc(wait, conn.Close)
		defer t.Stop()
	}
	return conn.Send(ctx, req, func(resp *http.Response) bool { return g.dialect.MatchesRequest(c.Request, resp) })
}

// tryTime is how long an attempt may stay without an answer before another
// target is tried; 0 for as long as the request may.
func (g *Gateway) tryTime(c *call) time.Duration {
	if c.service.Engine != nil || !c.route.Repeatable() || c.sent >= c.route.MaxAttempts {
		return 0
	}
	return max(minTryTime, min(c.route.LatencyObjective*tryObjectives, g.left(c)/2))
}

const (
	// minTryTime is far above the usual time of an answer.
	minTryTime = 60 * time.Millisecond
	// tryObjectives is the latency objectives after which an answer is worth
	// less by so much that another target is tried.
	tryObjectives = 1
)

// weightsFor is the version of the weights that a target is expected to answer
// the request on; 0 when it is not known.
func weightsFor(c *call, t *directory.Registration) int64 {
	if c.Prompt == nil {
		return 0
	}
	return t.Versions[c.Prompt.Model]
}

// outgoing is what goes with the request to the target.
func (g *Gateway) outgoing(c *call, l *leg, s *relay) TargetParams {
	o := TargetParams{
		Target: l.target.ID, Account: accountName(c), Timeout: g.left(c), Urgency: urgency(c),
		FetchFrom: l.source, LastEventID: s.resumeAfter(),
	}
	if c.Prompt != nil {
		// Pieces made on one version must not serve another: targets look
		// neither at versions nor at accounts when they fetch. So the scope
		// names both, and the target must have the version that it names.
		o.WeightsVersion = weightsFor(c, &l.target)
		o.CacheScope = strconv.FormatInt(o.WeightsVersion, 10) + "/" + cacheScope(c)
		plan := g.cache.plan(o.CacheScope, sharedPieces(c), pieceTokens(c))
		// All targets share the store's link, and each has its own: the store is
		// asked only for pieces that it is known to hold beyond what the source
		// does.
		if plan.holds > l.sourceHolds {
			o.FetchFrom = plan.address
		}
		if plan.save {
			o.SaveTo = plan.address
		}
	}
	return o
}
