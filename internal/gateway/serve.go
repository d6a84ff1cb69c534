package gateway

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/quota"
	"github.com/mastictray/mastictray/internal/routing"
)

// call is one request on its way through.
type call struct {
	*Request
	w     http.ResponseWriter
	r     *http.Request
	table *routing.Table
	route *routing.Route
	// account holds the request's key; nil when the route needs none.
	account *routing.Account
	keyHash string
	service *routing.Service

	began time.Duration
	// due is when the final answer has to be out; 0 for never.
	due time.Duration
	// tokens is what the request has taken of its account's rate, asked what
	// it counts.
	tokens, asked float64
	// sent counts the targets that it was sent to, ran says that one of them
	// may have run it.
	sent int
	ran  bool
	// lastEventAt is when the last event of a stream went out; 0 for none.
	lastEventAt time.Duration
	// prepaid is set while the next attempt is taken from the retry budget.
	prepaid atomic.Bool
	// wrote is set once the head of the answer is out.
	wrote bool
	// fingerprint names the request among its repeats.
	fingerprint uint64
	// tried is the target of the last attempt, choice why it was chosen and
	// placedAt when.
	tried    string
	choice   placementInfo
	placedAt time.Duration
}

// ServeHTTP implements http.Handler for callers.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{w: w, r: r, began: g.clock.Now()}
	if g.closing.Load() {
		// The caller moves to another instance after this answer. Its idle
		// connections stay open meanwhile: a request that crosses the close
		// of one is lost to its caller.
		w.Header().Set("Connection", "close")
	}
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
		panic(http.ErrAbortHandler) // net/http's way to cut a connection
	default:
		g.refuse(c, refusal)
	}
}

// serve runs one request. A returned refusal has not been written yet.
func (g *Gateway) serve(c *call) *Refusal {
	if refusal := g.routeCall(c); refusal != nil {
		return refusal
	}
	if refusal := g.authorize(c); refusal != nil {
		return refusal
	}
	ctx, cancel := g.bound(c)
	defer cancel()
	if refusal := g.readBody(ctx, c); refusal != nil {
		return refusal
	}
	if refusal := g.admitCurrent(c); refusal != nil {
		return refusal
	}
	return g.forward(ctx, c)
}

// admitCurrent takes the request's part of its account's rate, by the configuration that
// is in force then: while the body came in, there may have been another one.
func (g *Gateway) admitCurrent(c *call) *Refusal {
	for {
		refusal, current := g.admit(c)
		if current {
			return refusal
		}
		c.account = nil
		if refusal := g.routeCall(c); refusal != nil {
			return refusal
		}
		if refusal := g.authorize(c); refusal != nil {
			return refusal
		}
	}
}

func (g *Gateway) routeCall(c *call) *Refusal {
	c.table = g.table.Load()
	if c.table == nil {
		return unavailable("no_configuration", notReadyRetry)
	}
	if g.configOverdue() {
		return unavailable("config_overdue", configRetry)
	}
	route, ok := c.table.Match(c.Host, c.Path)
	if !ok {
		return g.unknown(http.StatusNotFound, "no_route")
	}
	c.route = route
	if limit := c.table.Config().Limits.MaxHeaderBytes; limit > 0 && headerBytes(c.r) > limit {
		return &Refusal{Status: http.StatusRequestHeaderFieldsTooLarge, Reason: "header_too_large", NotRun: true}
	}
	return nil
}

// headerBytes is the size of a request's head on the wire.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host) + headFraming
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + lineFraming
		}
	}
	return n
}

const (
	// headFraming is the bytes of the request line and the Host line beside
	// their values, and of the empty line.
	headFraming = len("  HTTP/1.1\r\nHost: \r\n\r\n")
	lineFraming = len(": \r\n")
)

// notReadyRetry is the hint of an instance that just started: about the time
// of a few reads of the store.
const notReadyRetry = 300 * time.Millisecond

// authorize checks the request's key against the configuration in force now.
// It is called when the request comes in and again right before each send: the
// key may be withdrawn while the request waits.
func (g *Gateway) authorize(c *call) *Refusal {
	if !c.table.RequiresKey(c.route) {
		return nil
	}
	if c.keyHash == "" {
		c.keyHash = routing.HashKey(c.Key)
	}
	account, ok := c.table.AccountByKeyHash(c.keyHash)
	if !ok {
		return g.unknown(http.StatusUnauthorized, "unknown_key")
	}
	if g.sinceContact() > g.settings.KeyCutoff {
		return unavailable("keys_stale", keysStaleRetry)
	}
	c.account = account
	return nil
}

// unknown refuses a request for what the configuration in force does not have. A
// newer one may have it.
func (g *Gateway) unknown(status int, reason string) *Refusal {
	if g.configs.outdated() || g.sinceContact() > g.settings.ConfigBound {
		return unavailable("config_pending", configRetry)
	}
	return &Refusal{Status: status, Reason: reason, NotRun: true}
}

// configOverdue says that a newer configuration exists and may have to be in force by
// now: it was written after this instance's last contact with the store.
func (g *Gateway) configOverdue() bool {
	return g.configs.outdated() && g.sinceContact() > time.Duration(overdueShare*float64(g.settings.ConfigBound))
}

const (
	// overdueShare is the part of the time within which a configuration must be in
	// force after which the one before is no longer used: a request takes a while to
	// reach its target.
	overdueShare = 0.9
	// configRetry is the hint of an instance that waits for a newer configuration.
	configRetry = 200 * time.Millisecond
)

// keysStaleRetry is the hint of an instance that cannot check keys: its
// callers' next connections go to another one.
const keysStaleRetry = 200 * time.Millisecond

// bound gives the context of the request: it ends when the caller leaves or
// the time is over.
func (g *Gateway) bound(c *call) (context.Context, context.CancelFunc) {
	left := c.Timeout
	if t := c.route.Timeout; t > 0 && (left == 0 || t < left) {
		left = t
	}
	if left == 0 {
		return context.WithCancel(c.r.Context())
	}
	c.due = c.began + left
	return context.WithTimeout(c.r.Context(), left)
}

// left is the time until the final answer is due.
func (g *Gateway) left(c *call) time.Duration {
	if c.due == 0 {
		return 0
	}
	return c.due - g.clock.Now()
}

func (g *Gateway) readBody(ctx context.Context, c *call) *Refusal {
	limit := c.table.Config().Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBody
	}
	if c.r.ContentLength > limit {
		return &Refusal{Status: http.StatusRequestEntityTooLarge, Reason: "body_too_large", NotRun: true}
	}
	if deadline, ok := ctx.Deadline(); ok {
		// An error leaves the server's own read limit in force.
		_ = http.NewResponseController(c.w).SetReadDeadline(deadline)
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, limit))
	_ = http.NewResponseController(c.w).SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return &Refusal{Status: http.StatusRequestEntityTooLarge, Reason: "body_too_large", NotRun: true}
	case ctx.Err() != nil:
		return &Refusal{Status: http.StatusRequestTimeout, Reason: "body_too_slow", NotRun: true}
	case err != nil:
		return &Refusal{Status: http.StatusBadRequest, Reason: "body_unreadable", NotRun: true}
	}
	c.Body = body
	c.fingerprint = requestFingerprint(c)
	return nil
}

// defaultMaxBody bounds a body where the configuration does not.
const defaultMaxBody = 4 << 20

// admit takes the request's part of its account's rate. Where the configuration in force
// is no longer that of the request, it does nothing and says so.
func (g *Gateway) admit(c *call) (refusal *Refusal, current bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.table.Load() != c.table {
		return nil, false // it changes under g.mu, together with the limits
	}
	if g.crashes.isBlocked(g.clock.Now(), c.fingerprint) {
		return &Refusal{Status: http.StatusServiceUnavailable, Reason: "crashes_targets", NotRun: true, RetryAfter: barredRetry}, true
	}
	if c.account == nil {
		return nil, true
	}
	c.tokens = 1
	if c.account.CountTokens {
		c.tokens = c.account.DefaultTokens
		if c.Prompt != nil && c.Prompt.TokensDeclared {
			c.tokens = float64(c.Prompt.Tokens + c.Prompt.MaxOutputTokens)
		}
	}
	c.asked = c.tokens
	wait, ok := g.quota.Admit(g.clock.Now(), c.account.Name, c.tokens)
	if !ok {
		c.tokens = 0
		return &Refusal{Status: http.StatusTooManyRequests, Reason: "over_rate", RetryAfter: max(wait, minRateRetry), NotRun: true}, true
	}
	return nil, true
}

const (
	// minRateRetry keeps a caller over its rate from coming back at once.
	minRateRetry = 100 * time.Millisecond
	// barredRetry is the hint to a caller whose request crashes targets: it
	// will be refused for as long as it is remembered.
	barredRetry = 10 * time.Second
)

// refund gives back what a request that has not run took of its account's
// rate.
func (g *Gateway) refund(c *call) {
	if c.account == nil || c.tokens == 0 {
		return
	}
	g.mu.Lock()
	g.quota.Refund(g.clock.Now(), c.account.Name, c.tokens)
	g.mu.Unlock()
	c.tokens = 0
}

// refuse writes a refusal and its log line.
func (g *Gateway) refuse(c *call, refusal *Refusal) {
	if refusal.NotRun {
		g.refund(c)
	}
	if !c.wrote {
		c.wrote = true
		g.dialect.Refuse(c.w, c.Request, refusal)
	}
	g.metrics.refused(refusal)
	g.logRefusal(c, refusal)
}

// logRefusal writes what was decided and what it was decided by: the
// configuration and its age, the tokens asked for, and how much of the fleet
// reports, by which the account's rate is shared.
func (g *Gateway) logRefusal(c *call, refusal *Refusal) {
	version := int64(0)
	if c.table != nil {
		version = c.table.Config().Version
	}
	age := g.sinceContact()
	logline.Info("refused", "request", c.ID, "route", routeName(c), "account", accountName(c), "status", refusal.Status,
		"reason", refusal.Reason, "not_run", refusal.NotRun, "sent", c.sent, "target", c.tried,
		"after", g.clock.Now()-c.began, "retry_after", refusal.RetryAfter, "tokens", c.asked,
		"config", version, "config_age", age, "fleet", g.peers.fleetSize(), "reporting", g.peers.reporting())
}

func unavailable(reason string, retryAfter time.Duration) *Refusal {
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

// limitsOf gives the accounts' limits of a configuration.
func limitsOf(c *routing.Config) map[string]quota.Limit {
	limits := make(map[string]quota.Limit, len(c.Accounts))
	for _, a := range c.Accounts {
		limits[a.Name] = quota.Limit{Rate: a.Rate, Burst: a.Burst}
	}
	return limits
}
