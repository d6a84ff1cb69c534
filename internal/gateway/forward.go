package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/directory"
	"github.com/mastictray/mastictray/internal/fairqueue"
	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/overload"
	"github.com/mastictray/mastictray/internal/prefix"
	"github.com/mastictray/mastictray/internal/routing"
	"github.com/mastictray/mastictray/internal/targetconn"
)

// leg is one attempt at one target.
type leg struct {
	target directory.Registration
	// source is the address of a target to fetch pieces from; empty for none.
	source string
	// saves says that the target saves what it reads, under the scope.
	saves bool
	scope string
	// choice is what placement expected, for the log.
	choice choice
	// sent is called with what ends the attempt before its request is
	// written, heard for each part of the answer, answered for the first one,
	// ended once at the end, unreachable when no connection was made.
	sent        func(abandon func())
	heard       func()
	answered    func()
	ended       func(overload.Result)
	unreachable func()
}

// choice is what placement knew and expected when it chose a target.
type choice struct {
	cached   int
	uncached int
	expected time.Duration
	// targets is the number that could have been chosen.
	targets int
}

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
	name := c.route.Choose(g.source())
	service, ok := c.table.Service(name)
	if !ok {
		return unavailable("no_service", notReadyRetry)
	}
	c.service = service
	g.budget(name).request()
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
			c.ran = true
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
	if ctx.Err() != nil || c.sent >= max(1, c.route.MaxAttempts) {
		return false
	}
	if c.ran && !c.route.Repeatable() {
		return false
	}
	return g.budget(c.service.Name).repeat()
}

// recheck looks again at what may have changed while the request waited: the
// configuration, the key, and the time, which does not stand still while the
// machine is suspended.
func (g *Gateway) recheck(c *call) *Refusal {
	if c.due > 0 && g.clock.Now() >= c.due {
		return &Refusal{Status: http.StatusServiceUnavailable, Reason: "deadline", NotRun: true}
	}
	if t := g.table.Load(); t != c.table {
		route, ok := t.Match(c.Host, c.Path)
		if !ok {
			return &Refusal{Status: http.StatusNotFound, Reason: "no_route", NotRun: true}
		}
		c.table, c.route = t, route
		if !routesTo(c) {
			return unavailable("route_moved", movedRetry)
		}
	}
	return g.authorize(c)
}

// movedRetry is the hint when a route moved to another service while its
// request waited.
const movedRetry = 50 * time.Millisecond

// routesTo says whether the route still leads to the request's service.
func routesTo(c *call) bool {
	for _, w := range c.route.Split {
		if w.Service == c.service.Name && w.Weight > 0 {
			return true
		}
	}
	return false
}

// place chooses a target for the next attempt and waits for it if need be. A
// nil leg without a refusal means that the context ended.
func (g *Gateway) place(ctx context.Context, c *call) (*leg, *Refusal) {
	if c.service.Engine != nil {
		return g.placeEngine(ctx, c)
	}
	g.mu.Lock()
	pool := g.service(c.service.Name)
	g.mu.Unlock()
	ch, ok := pool.acquire(c.tried)
	if !ok && c.tried != "" {
		ch, ok = pool.acquire("")
	}
	if !ok {
		return nil, unavailable("no_target", noTargetRetry)
	}
	return &leg{
		target: ch.target, sent: func(func()) {}, heard: func() {}, answered: func() {},
		ended:       func(r overload.Result) { pool.ended(ch, r) },
		unreachable: func() { pool.unreachable(ch) },
	}, nil
}

// noTargetRetry is the hint when a service has no usable target: about the
// time until one comes back or a breaker lets a probe through.
const noTargetRetry = 300 * time.Millisecond

func (g *Gateway) placeEngine(ctx context.Context, c *call) (*leg, *Refusal) {
	g.mu.Lock()
	pool := g.engine(c.service.Name)
	g.mu.Unlock()
	pl, refusal := pool.acquire(ctx, g.queued(c))
	switch {
	case refusal != nil:
		reason := "queue_" + string(refusal.Reason)
		if refusal.Reason == fairqueue.ReasonDeadline {
			reason = "cannot_make_deadline"
		}
		return nil, unavailable(reason, refusal.RetryAfter)
	case pl == nil:
		return nil, nil
	}
	l := &leg{}
	*l = leg{
		target: pl.target, source: pl.source,
		choice: choice{cached: pl.send.Decision.CachedPieces, uncached: int(pl.send.Decision.UncachedTokens), expected: pl.send.Decision.Expected, targets: pl.targets},
		answered: func() {
			if !pl.prefilled {
				g.noteRead(c, l, pl)
			}
			pool.answered(pl)
		},
		sent:        func(abandon func()) { pool.sent(pl, abandon) },
		heard:       func() { pool.heard(pl) },
		ended:       func(r overload.Result) { pool.ended(pl, r) },
		unreachable: func() { pool.unreachable(pl) },
	}
	return l, nil
}

// noteRead notes that a target has read the prompt, and whether it saves it.
func (g *Gateway) noteRead(c *call, l *leg, pl *placed) {
	if !l.saves {
		g.peers.sentPrompt(pl, "", nil)
		return
	}
	pieces := sharedPieces(c)
	g.cache.saved(l.scope, pieces)
	g.peers.sentPrompt(pl, l.scope, pieces)
}

// sharedPieces are the names of the prompt's pieces that other requests share.
func sharedPieces(c *call) []prefix.Hash {
	pieces := c.Prompt.Pieces
	if len(pieces) > 1 {
		pieces = pieces[:len(pieces)-1]
	}
	names := make([]prefix.Hash, len(pieces))
	for i, p := range pieces {
		names[i] = p.Hash
	}
	return names
}

// queued describes the request to the queue and to placement.
func (g *Gateway) queued(c *call) *waiting {
	q := &waiting{Account: accountName(c), Priority: fairqueue.MaxPriority - urgency(c), Deadline: c.firstDue()}
	if c.route.LatencyObjective > 0 {
		q.Objective = c.began + c.route.LatencyObjective
	}
	q.Place.Exclude = c.tried
	if c.account != nil && c.account.Rate > 0 {
		q.Weight = c.account.Rate
	}
	if c.Prompt == nil {
		return q
	}
	q.Place.PromptTokens = c.Prompt.Tokens
	q.Place.HeldTokens = c.Prompt.Tokens + c.Prompt.MaxOutput
	q.Place.Long = c.Prompt.MaxOutput > longOutput
	q.Place.Chain, q.Place.PieceEnds = chainOf(c)
	return q
}

// firstDue is when the first byte is due at the latest. Callers leave a stream
// that brings nothing for long, well before their deadline; what starts after
// that runs for nobody.
func (c *call) firstDue() time.Duration {
	if c.route.Kind != routing.Stream {
		return c.due
	}
	due := c.began + max(minStreamPatience, streamObjectives*c.route.LatencyObjective, streamGaps*c.route.GapObjective)
	if c.due > 0 {
		due = min(due, c.due)
	}
	return due
}

// How long callers wait for the first event of a stream: the longest of a time,
// some latency objectives and some gaps. The callers' own rule, as agreed.
const (
	minStreamPatience = 2 * time.Second
	streamObjectives  = 4
	streamGaps        = 8
)

// longOutput is the tokens of answer above which a request runs for much longer
// than it takes to its first token: about half a second of an engine's steps.
const longOutput = 100

// chainOf gives the hashes of the prompt's shared pieces, each bound to those
// before it and to who may share it. The last piece is the request's own, and
// nothing is gained by remembering it.
func chainOf(c *call) (chain []prefix.Hash, ends []int) {
	pieces := c.Prompt.Pieces
	if len(pieces) > 1 {
		pieces = pieces[:len(pieces)-1]
	}
	at, end := prefix.Scope{Account: cacheScope(c), Model: c.Prompt.Model}.Seed(), 0
	for _, p := range pieces {
		at = prefix.Join(at, p.Hash)
		end += p.Tokens
		chain, ends = append(chain, at), append(ends, end)
	}
	return chain, ends
}

// cacheScope separates the pieces of an isolated account from all others'.
func cacheScope(c *call) string {
	if c.account != nil && c.account.Isolated {
		return "account/" + c.account.Name
	}
	return ""
}

func urgency(c *call) int {
	p := c.route.Priority
	if c.account != nil && c.account.HasPriority {
		p = c.account.Priority
	}
	return min(max(p, 0), fairqueue.MaxPriority)
}

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
	abandon := conn.Close
	if !c.route.Repeatable() {
		abandon = nil // the target may come back; nobody else may run it
	}
	l.sent(abandon)
	stop := context.AfterFunc(ctx, conn.Close)
	result, err := g.exchange(ctx, c, l, s, conn)
	if !stop() {
		conn.Break()
	}
	if result == delivered {
		g.targets.Put(conn)
	} else {
		conn.Close()
	}
	l.ended(verdictOn(ctx, result, err))
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
	// shortIdle is under the shortest idle timeouts that servers use.
	shortIdle = 1500 * time.Millisecond
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
	verdict := g.dialect.Judge(resp)
	if verdict.Weights > 0 && c.Prompt != nil {
		g.engineOf(c).served(l.target.Incarnation(), c.Prompt.Model, verdict.Weights)
	}
	switch {
	case verdict.NotRun:
		if c.service.Engine != nil {
			g.engineOf(c).refused(l.target.Incarnation())
		}
		return notRun, errors.Newf("status %d, not run", resp.StatusCode)
	case !verdict.Genuine:
		return unknown, errors.Newf("status %d without the target's signature", resp.StatusCode)
	case resp.StatusCode >= http.StatusInternalServerError && g.worthRepeating(ctx, c):
		return unknown, errors.Wrapf(errServerError, "status %d", resp.StatusCode)
	}
	return s.answer(ctx, l, conn, resp)
}

// worthRepeating says that a failure of the target may be tried elsewhere.
func (g *Gateway) worthRepeating(ctx context.Context, c *call) bool {
	return ctx.Err() == nil && c.route.Repeatable() && c.sent < c.route.MaxAttempts && !c.wrote &&
		g.budget(c.service.Name).saved() >= 1
}

// send writes the request and waits for the head of its answer. Where the
// request may be repeated and may go elsewhere, it waits for a part of the
// time only: a target that hangs says nothing until the deadline.
func (g *Gateway) send(ctx context.Context, c *call, conn *targetconn.Conn, req *targetconn.Request) (*http.Response, error) {
	if wait := g.tryTime(c); wait > 0 {
		t := time.AfterFunc(wait, conn.Close)
		defer t.Stop()
	}
	return conn.Send(ctx, req, func(resp *http.Response) bool { return g.dialect.Answers(c.Request, resp) })
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

// outgoing is what goes with the request to the target.
func (g *Gateway) outgoing(c *call, l *leg, s *relay) Outgoing {
	o := Outgoing{
		Target: l.target.ID, Account: accountName(c), Left: g.left(c), Urgency: urgency(c),
		FetchFrom: l.source, LastEventID: s.resumeAfter(),
	}
	if c.Prompt != nil {
		// Pieces made on one version must not serve another: targets look
		// neither at versions nor at accounts when they fetch. So the scope
		// names both, and the target must have the version that it names.
		o.Weights = l.target.Versions[c.Prompt.Model]
		o.CacheScope = strconv.FormatInt(o.Weights, 10) + "/" + cacheScope(c)
		fetch, save := g.cache.plan(o.CacheScope, sharedPieces(c))
		if fetch != "" {
			o.FetchFrom = fetch
		}
		o.SaveTo = save
	}
	return o
}

// giveUp ends a request that no target has answered.
func (g *Gateway) giveUp(ctx context.Context, c *call, s *relay, refusal *Refusal) *Refusal {
	if c.r.Context().Err() != nil {
		g.metrics.left()
		logline.Info("caller_left", "request", c.ID, "route", routeName(c), "sent", c.sent, "target", c.tried, "after", g.clock.Now()-c.began)
		if !c.ran {
			g.refund(c)
		}
		return &Refusal{abort: true}
	}
	if s.started {
		return g.breakOff(c, s)
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
	return unavailable("targets_full", fullRetry)
}

// fullRetry is the hint when every target tried was full: a part of a second
// in which some of their requests end.
const fullRetry = 250 * time.Millisecond

// breakOff ends an answer of which a part is out, so that it does not look
// complete.
func (g *Gateway) breakOff(c *call, s *relay) *Refusal {
	g.metrics.brokenOff()
	logline.Info("broken_off", "request", c.ID, "route", c.route.Name, "account", accountName(c), "sent", c.sent,
		"target", c.tried, "events", s.events, "last_event", s.lastID, "after", g.clock.Now()-c.began)
	return &Refusal{abort: true}
}

func (g *Gateway) logAttempt(c *call, l *leg, result string, err error) {
	logline.Info("attempt_failed", "request", c.ID, "route", c.route.Name, "target", l.target.ID, "address", l.target.Address,
		"domain", l.target.Domain, "attempt", c.sent, "result", result, "error", err, "after", g.clock.Now()-c.began)
}

func (g *Gateway) logAnswered(c *call, s *relay) {
	total := g.clock.Now() - c.began
	g.metrics.answered(c, s, total)
	logline.Sampled("answered", "request", c.ID, "route", c.route.Name, "account", accountName(c), "target", c.tried,
		"status", s.status, "attempts", c.sent, "events", s.events, "queued", c.placedAt-c.began, "first", s.firstAt, "after", total,
		"expected", c.choice.expected, "cached_pieces", c.choice.cached, "uncached", c.choice.uncached, "targets", c.choice.targets)
}

func (o outcome) String() string {
	return [...]string{"delivered", "broken", "not_run", "unknown", "not_sent"}[o]
}
