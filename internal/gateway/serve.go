package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/callerlimit"
	"github.com/mastictray/mastictray/internal/canary"
	"github.com/mastictray/mastictray/internal/configvalidity"
	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/ratecount"
	"github.com/mastictray/mastictray/internal/routing"
)

// call is the state of one request from its arrival to its final response.
type call struct {
	*Request
	w     http.ResponseWriter
	r     *http.Request
	table *routing.Table
	route *routing.Route
	// account owns the request's key; nil if the route requires no key.
	account *routing.Account
	keyHash string
	service *routing.Service

	startedAt time.Duration
	// deadline is the time by which the final response is due; 0 if there is none.
	deadline time.Duration
	// chargedTokens is what the request was charged against its account's rate,
	// requestedTokens its full cost.
	chargedTokens, requestedTokens float64
	// sendCount is the number of times the request was sent to a target, refusedCount how
	// often a target refused it without running it while it could still be answered on time or
	// its stream had begun. mayHaveRun is set if one of the targets
	// may have run it.
	sendCount, refusedCount int
	mayHaveRun              bool
	// continuationCount is how often its run was sent on to go on at another target.
	continuationCount int
	// stream is where the caller's stream began, once that is known.
	stream callerStream
	// generation moves the run of the request; nil if runs of its kind are not moved.
	generation *generation
	// refusedBy holds the targets that refused the request.
	refusedBy []string
	// lastEventAt is the time at which the last event of a stream was sent to the
	// caller; 0 if none was.
	lastEventAt time.Duration
	// retryCharged is set if the next attempt is already charged to the retry budget.
	retryCharged atomic.Bool
	// toCanary is set if the next attempt goes to a canary.
	toCanary bool
	// rolloutPhase is the phase of the service's rollout in which the attempt was made.
	rolloutPhase canary.Phase
	// headWritten is set once the response headers are written.
	headWritten atomic.Bool
	// fingerprint is the same for all repeats of a request.
	fingerprint uint64
	// probesPiece is set if the request shows whether a blocked piece still crashes targets.
	probesPiece bool
	// lastTarget is the target of the last attempt, choice the reason for choosing it
	// and placedAt the time of that choice.
	lastTarget string
	// cancel ends the request: its caller has left or takes no data.
	cancel context.CancelFunc
	// memory is what the request is charged to the instance's memory.
	memory callerlimit.Charge
	// callerPaused is set once a response was not read from its target for a while because the
	// caller took nothing.
	callerPaused bool
	// lastRelay is the instance that relayed the last attempt's connection, or empty.
	lastRelay string
	choice    placementInfo
	placedAt  time.Duration
	// admission is the decision whether the call may use its service, once it is made.
	admission *callAdmission
}

// ServeHTTP implements http.Handler for callers.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{w: w, r: r, startedAt: g.clock.Now()}
	req, err := g.dialect.Decode(r)
	if err != nil {
		c.Request = &Request{}
		g.refuse(c, &Refusal{Status: http.StatusBadRequest, Reason: "malformed", NotRun: true})
		logline.Info("request_malformed", "reason", err)
		return
	}
	c.Request = req
	refusal := g.serve(c)
	switch {
	case refusal == nil:
	case refusal.abort:
		panic(http.ErrAbortHandler) // makes net/http close the connection
	default:
		g.refuse(c, refusal)
	}
}

// serve runs one request. A returned refusal has not been written yet.
func (g *Gateway) serve(c *call) *Refusal {
	if refusal := g.matchRoute(c); refusal != nil {
		return refusal
	}
	if refusal := g.authorize(c); refusal != nil {
		return refusal
	}
	ctx, cancel := g.withDeadline(c)
	defer cancel()
	c.cancel = cancel
	if g.mayOutlastProcess(c) {
		return unavailableRefusal("draining", drainingRetryAfter)
	}
	defer c.memory.Release()
	if refusal := g.readBody(ctx, c); refusal != nil {
		return refusal
	}
	if refusal := g.checkPieces(c); refusal != nil {
		return refusal
	}
	if refusal := g.admitWithCurrentConfig(c); refusal != nil {
		return refusal
	}
	return g.forward(ctx, c)
}

// admitWithCurrentConfig charges the request to its account's rate under the active
// configuration, which may have changed while the body was read.
func (g *Gateway) admitWithCurrentConfig(c *call) *Refusal {
	for {
		refusal, current := g.admit(c)
		if current {
			return refusal
		}
		c.account = nil
		if refusal := g.matchRoute(c); refusal != nil {
			return refusal
		}
		if refusal := g.authorize(c); refusal != nil {
			return refusal
		}
	}
}

func (g *Gateway) matchRoute(c *call) *Refusal {
	c.table = g.table.Load()
	if c.table == nil {
		return unavailableRefusal("no_configuration", notReadyRetryAfter)
	}
	if v := g.configVerdict(); v != configvalidity.Valid {
		return unavailableRefusal(v.String(), configRetryAfter)
	}
	route, ok := c.table.Match(c.Host, c.Path)
	if !ok {
		return g.unknownRefusal(http.StatusNotFound, "no_route")
	}
	c.route = route
	if limit := c.table.Config().Limits.MaxHeaderBytes; limit > 0 && headerBytes(c.r) > limit {
		return &Refusal{Status: http.StatusRequestHeaderFieldsTooLarge, Reason: "header_too_large", NotRun: true}
	}
	return nil
}

// headerBytes returns the size of the request line and headers on the wire.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host) + requestHeadOverhead
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + headerLineOverhead
		}
	}
	return n
}

const (
	// requestHeadOverhead is the size of the request line, the Host line and the final
	// empty line without their values.
	requestHeadOverhead = len("  HTTP/1.1\r\nHost: \r\n\r\n")
	headerLineOverhead  = len(": \r\n")
)

// notReadyRetryAfter is the Retry-After of an instance that has just started: about the
// time of a few reads of the store.
const notReadyRetryAfter = 300 * time.Millisecond

// authorize checks the request's key against the request's configuration. It is called
// on arrival and again right before each attempt, since the key may be withdrawn while
// the request waits.
func (g *Gateway) authorize(c *call) *Refusal {
	if !c.table.RequiresKey(c.route) {
		return nil
	}
	if c.keyHash == "" {
		c.keyHash = routing.HashKey(c.Key)
	}
	account, ok := c.table.AccountByKeyHash(c.keyHash)
	if !ok {
		return g.unknownRefusal(http.StatusUnauthorized, "unknown_key")
	}
	if g.contactAge() > g.settings.KeyCutoff {
		return unavailableRefusal("keys_stale", keysStaleRetryAfter)
	}
	c.account = account
	return nil
}

// unknownRefusal returns the refusal of a request for something that the active
// configuration doesn't contain. A newer configuration may contain it; if there may be
// one, the refusal asks the caller to retry.
func (g *Gateway) unknownRefusal(status int, reason string) *Refusal {
	if g.configs.isOutdated() || g.contactAge() > g.settings.ConfigBound {
		return unavailableRefusal("config_pending", configRetryAfter)
	}
	return &Refusal{Status: status, Reason: reason, NotRun: true}
}

// configRetryAfter is the Retry-After of an instance that waits for a newer
// configuration, or can't know of one.
const configRetryAfter = 200 * time.Millisecond

// keysStaleRetryAfter is the Retry-After of an instance that can't check keys. Its
// callers' next connections go to another instance.
const keysStaleRetryAfter = 200 * time.Millisecond

// withDeadline returns the context of the request. It ends when the caller disconnects, the
// deadline passes, or the process is about to end and has not begun to answer.
func (g *Gateway) withDeadline(c *call) (context.Context, context.CancelFunc) {
	timeout := c.Timeout
	if t := c.route.Timeout; t > 0 && (timeout == 0 || t < timeout) {
		timeout = t
	}
	var ctx context.Context
	var cancel context.CancelFunc
	if timeout == 0 {
		ctx, cancel = context.WithCancel(c.r.Context())
	} else {
		c.deadline = c.startedAt + timeout
		ctx, cancel = context.WithTimeout(c.r.Context(), timeout)
	}
	stop := context.AfterFunc(g.answering, func() {
		if !c.headWritten.Load() {
			cancel()
		}
	})
	return ctx, func() { stop(); cancel() }
}

// mayOutlastProcess reports whether the process may end before the request's deadline. Before
// the balancer lag has passed no request counts as such: the instance would refuse most
// streams while callers are still sent to it.
func (g *Gateway) mayOutlastProcess(c *call) bool {
	due := time.Duration(g.responsesDueBy.Load())
	return due > 0 && (c.deadline == 0 || c.deadline > due)
}

// drainingRetryAfter is the Retry-After of an instance that is about to stop. Other instances
// can serve the request at once.
const drainingRetryAfter = 20 * time.Millisecond

// timeLeft returns the time until the deadline, or 0 if there is none.
func (g *Gateway) timeLeft(c *call) time.Duration {
	if c.deadline == 0 {
		return 0
	}
	return c.deadline - g.clock.Now()
}

func (g *Gateway) readBody(ctx context.Context, c *call) *Refusal {
	limit := c.table.Config().Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if c.r.ContentLength > limit {
		return &Refusal{Status: http.StatusRequestEntityTooLarge, Reason: "body_too_large", NotRun: true}
	}
	c.memory = callerlimit.NewCharge(g.memory, callerlimit.FromContext(c.r.Context()))
	if !c.memory.Take() {
		return g.memoryRefusal(c)
	}
	if deadline, ok := ctx.Deadline(); ok {
		// On error, the server's own read timeout stays in effect.
		_ = http.NewResponseController(c.w).SetReadDeadline(deadline)
	}
	body, err := c.memory.ReadBody(c.r, limit, bodyCopies)
	_ = http.NewResponseController(c.w).SetReadDeadline(time.Time{})
	switch {
	case errors.Is(err, callerlimit.ErrBodyTooLarge):
		return &Refusal{Status: http.StatusRequestEntityTooLarge, Reason: "body_too_large", NotRun: true}
	case errors.Is(err, callerlimit.ErrMemoryFull):
		return g.memoryRefusal(c)
	case ctx.Err() != nil:
		return &Refusal{Status: http.StatusRequestTimeout, Reason: "body_too_slow", NotRun: true}
	case err != nil:
		return &Refusal{Status: http.StatusBadRequest, Reason: "body_unreadable", NotRun: true}
	}
	c.Body = body
	c.fingerprint = requestFingerprint(c)
	return nil
}

// defaultMaxBodyBytes bounds the body if the configuration doesn't.
const defaultMaxBodyBytes = 4 << 20

// admit charges the request to its account's rate. If the request's configuration is no
// longer the active one, it does nothing and returns current as false.
func (g *Gateway) admit(c *call) (refusal *Refusal, current bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.table.Load() != c.table {
		return nil, false // the table changes under g.mu, together with the limits
	}
	if g.crashes.isBlocked(g.clock.Now(), c.fingerprint) {
		return &Refusal{Status: http.StatusServiceUnavailable, Reason: "crashes_targets", NotRun: true, RetryAfter: crashRetryAfter}, true
	}
	if c.account == nil {
		return nil, true
	}
	c.chargedTokens = 1
	if c.account.CountTokens {
		c.chargedTokens = c.account.DefaultTokens
		if c.Prompt != nil && c.Prompt.TokensDeclared {
			c.chargedTokens = float64(c.Prompt.Tokens + c.Prompt.MaxOutputTokens)
		}
	}
	c.requestedTokens = c.chargedTokens
	wait, ok := g.chargeAccount(c)
	if !ok {
		c.chargedTokens = 0
		return &Refusal{Status: http.StatusTooManyRequests, Reason: "over_rate", RetryAfter: max(wait, minRateRetryAfter), NotRun: true}, true
	}
	return nil, true
}

const (
	// minRateRetryAfter keeps callers over their rate from retrying at once.
	minRateRetryAfter = 100 * time.Millisecond
	// crashRetryAfter is the Retry-After for a request that crashes targets. It is
	// refused for as long as its crashes are remembered.
	crashRetryAfter = 10 * time.Second
)

// refund returns the charged tokens of a request that has not run to its account.
func (g *Gateway) refund(c *call) {
	if c.account == nil || c.chargedTokens == 0 {
		return
	}
	g.mu.Lock()
	g.accountLimiter.Refund(g.clock.Now(), c.account.Name, c.chargedTokens)
	g.mu.Unlock()
	c.chargedTokens = 0
}

// refuse writes a refusal and logs it.
func (g *Gateway) refuse(c *call, refusal *Refusal) {
	if refusal.NotRun {
		g.refund(c)
	}
	if !c.headWritten.Swap(true) {
		g.announceDrain(c.w)
		callerlimit.PrepareRefusal(c.w, c.r)
		g.dialect.Refuse(c.w, c.Request, refusal)
	}
	g.metrics.refused(refusal)
	g.logRefusal(c, refusal)
}

// announceDrain is called right before the head of a response is written. If the instance
// drains, the caller learns to use another connection, which goes to another instance. Its idle
// connections stay open meanwhile, since a request that is sent while its connection closes is
// lost.
func (g *Gateway) announceDrain(w http.ResponseWriter) {
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
}

// logRefusal logs a refusal with the data it is based on: the configuration and its
// age, the requested tokens, and the number of reporting instances, which determines
// the share of the account's rate.
func (g *Gateway) logRefusal(c *call, refusal *Refusal) {
	version := int64(0)
	if c.table != nil {
		version = c.table.Config().Version
	}
	age := g.contactAge()
	fields := []any{
		"request", c.ID, "route", routeName(c), "account", accountName(c), "status", refusal.Status,
		"reason", refusal.Reason, "not_run", refusal.NotRun, "sent", c.sendCount, "target", c.lastTarget,
		"after", g.clock.Now() - c.startedAt, "retry_after", refusal.RetryAfter, "tokens", c.requestedTokens,
		"config", version, "config_age", age, "fleet", g.peers.fleetSize(), "reporting", g.peers.reportingCount(),
	}
	logline.Info("refused", append(fields, g.contentionFields(c)...)...)
}

func unavailableRefusal(reason string, retryAfter time.Duration) *Refusal {
	return &Refusal{Status: http.StatusServiceUnavailable, Reason: reason, RetryAfter: retryAfter, NotRun: true}
}

func routeName(c *call) string {
	if c.route == nil {
		return ""
	}
	return c.route.Name
}

func accountName(c *call) string {
	if c.account == nil {
		return ""
	}
	return c.account.Name
}

// accountLimits returns the rate limits of a configuration's accounts.
func accountLimits(c *routing.Config) map[string]ratecount.Limit {
	limits := make(map[string]ratecount.Limit, len(c.Accounts))
	for _, a := range c.Accounts {
		limits[a.Name] = ratecount.Limit{Rate: a.Rate, Burst: a.Burst}
	}
	return limits
}
