package entry

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/kataras/iris/v12"

	"github.com/mastictray/mastictray/internal/callerlimit"
	"github.com/mastictray/mastictray/internal/httpdrain"
	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/openai"
)

// adminServer serves the health checks, the metrics and the admin API.
type adminServer struct {
	entry  *Entry
	app    *iris.Application
	http   *httpdrain.Server
	tokens adminTokens
	// ready is false once the process drains.
	ready atomic.Bool
}

func newAdminServer(e *Entry, tokens adminTokens) *adminServer {
	a := &adminServer{entry: e, app: iris.New(), tokens: tokens}
	a.ready.Store(true)
	a.app.Logger().SetOutput(io.Discard)
	a.app.Get("/livez", func(ctx iris.Context) { _, _ = ctx.WriteString("ok\n") })
	a.app.Get("/readyz", a.handleReady)
	a.app.Get("/metrics", a.handleMetrics)
	read, operate := a.requireRole(roleRead), a.requireRole(roleOperate)
	a.app.Get("/admin/v1/state", read, a.handleState)
	a.app.Get("/admin/v1/audit", read, a.handleAudit)
	a.app.Post("/admin/v1/explain", read, a.handleExplain)
	a.app.Post("/admin/v1/drain", operate, a.handleDrain)
	a.http = httpdrain.New(&http.Server{
		Handler: a.app, ReadHeaderTimeout: headerReadTimeout, ReadTimeout: adminReadTimeout, MaxHeaderBytes: maxAdminHeaderBytes, ErrorLog: newHTTPErrorLogger(),
	})
	a.http.SendTimeout = callerSendTimeout
	callerlimit.New(callerlimit.Options{Now: e.clock.now, Memory: e.memory, MaxConnections: maxAdminConnections}).Attach(a.http)
	return a
}

// The limits of the admin server, which operators and health checks use.
const (
	adminReadTimeout    = 30 * time.Second
	maxAdminHeaderBytes = 16 << 10
	maxAdminConnections = 32
	// explainOverheadBytes is what a request to explain a placement has beside the caller's body.
	explainOverheadBytes = 64 << 10
)

func (a *adminServer) serve(l net.Listener) {
	if err := a.app.Build(); err != nil {
		logline.Error(err, "admin_failed")
		return
	}
	_ = a.http.Serve(l)
}

func (a *adminServer) close() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = a.http.Shutdown(ctx)
}

// requireRole rejects requests whose token does not have the role.
func (a *adminServer) requireRole(required adminRole) iris.Handler {
	return func(ctx iris.Context) {
		if !a.tokens.allows(bearerToken(ctx.Request()), required) {
			ctx.StopWithText(http.StatusForbidden, "the token does not have the role %s\n", required)
			return
		}
		ctx.Next()
	}
}

func (a *adminServer) handleReady(ctx iris.Context) {
	switch {
	case !a.ready.Load():
		ctx.StopWithText(http.StatusServiceUnavailable, "draining\n")
	case a.entry.config.intent() == nil:
		ctx.StopWithText(http.StatusServiceUnavailable, "no configuration yet\n")
	default:
		_, _ = ctx.WriteString("ok\n")
	}
}

func (a *adminServer) handleMetrics(ctx iris.Context) {
	a.entry.callers.limit.SetGauges(a.entry.metrics.setGauge)
	a.entry.metrics.set.WritePrometheus(ctx.ResponseWriter())
	metrics.WriteProcessMetrics(ctx.ResponseWriter())
}

func (a *adminServer) handleState(ctx iris.Context) { _ = ctx.JSON(a.entry.view(a.ready.Load())) }

func (a *adminServer) handleAudit(ctx iris.Context) {
	state, _ := a.entry.config.stateAndLogStart()
	if state == nil {
		ctx.StopWithText(http.StatusServiceUnavailable, "no configuration yet\n")
		return
	}
	entries := append(a.entry.rollouts.auditTrail(), state.Audit...)
	sort.SliceStable(entries, func(i, j int) bool { return entries[i].AtMillis < entries[j].AtMillis })
	_ = ctx.JSON(entries)
}

// handleDrain starts a graceful shutdown, as SIGTERM does.
func (a *adminServer) handleDrain(ctx iris.Context) {
	a.entry.Drain()
	ctx.StatusCode(http.StatusAccepted)
}

// explainRequest is the body of POST /admin/v1/explain: the caller request whose
// placement is to be explained.
type explainRequest struct {
	Path    string          `json:"path"`
	Account string          `json:"account"`
	Body    json.RawMessage `json:"body"`
}

// handleExplain computes the placement of a request without sending it.
func (a *adminServer) handleExplain(ctx iris.Context) {
	memory := callerlimit.NewCharge(a.entry.memory, callerlimit.FromContext(ctx.Request().Context()))
	defer memory.Release()
	raw, err := memory.ReadBody(ctx.Request(), a.entry.settings.MaxBodyBytes+explainOverheadBytes, engineBodyCopies)
	if errors.Is(err, callerlimit.ErrMemoryFull) {
		ctx.StopWithText(http.StatusServiceUnavailable, "the memory of this instance is used up\n")
		return
	}
	var query explainRequest
	if err != nil || json.Unmarshal(raw, &query) != nil {
		ctx.StopWithText(http.StatusBadRequest, "invalid body: expected a JSON object with path, account and body\n")
		return
	}
	req, err := parseRequestBody(query.Path, query.Body)
	if err != nil {
		ctx.StopWithText(http.StatusBadRequest, "%s\n", err.Error())
		return
	}
	intent := a.entry.config.intent()
	if intent == nil {
		ctx.StopWithText(http.StatusServiceUnavailable, "no configuration yet\n")
		return
	}
	_, pool, ok := routeForModel(intent, routesForPath(intent, query.Path), req.Model)
	if !ok {
		ctx.StopWithText(http.StatusNotFound, "no route serves this path and model\n")
		return
	}
	a.explainForPool(ctx, query.Account, a.entry.pools.engine(pool.Name), req)
}

func (a *adminServer) explainForPool(ctx iris.Context, account string, pool *enginePool, req openai.Request) {
	explanation, err := pool.explain(newPlacementRequest(account, pool.currentModel(), pool.activeVersion(), req.Prompt))
	if err != nil {
		ctx.StopWithText(http.StatusServiceUnavailable, "%s\n", err.Error())
		return
	}
	_ = ctx.JSON(explanation)
}
