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
	"github.com/kataras/iris/v12"

	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/openai"
)

// adminServer answers operators: health, metrics and the admin API.
type adminServer struct {
	entry  *Entry
	app    *iris.Application
	http   *http.Server
	tokens adminTokens
	// ready is cleared when the process begins to drain.
	ready atomic.Bool
}

func newAdminServer(e *Entry, tokens adminTokens) *adminServer {
	a := &adminServer{entry: e, app: iris.New(), tokens: tokens}
	a.ready.Store(true)
	a.app.Logger().SetOutput(io.Discard)
	a.app.Get("/livez", func(ctx iris.Context) { _, _ = ctx.WriteString("ok\n") })
	a.app.Get("/readyz", a.readyz)
	a.app.Get("/metrics", a.metrics)
	read, operate := a.require(roleRead), a.require(roleOperate)
	a.app.Get("/admin/v1/state", read, a.state)
	a.app.Get("/admin/v1/audit", read, a.audit)
	a.app.Post("/admin/v1/explain", read, a.explain)
	a.app.Post("/admin/v1/drain", operate, a.drain)
	a.http = &http.Server{Handler: a.app, ReadHeaderTimeout: headerReadTimeout, ErrorLog: discardLogger()}
	return a
}

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

// require lets a call through whose token has the role.
func (a *adminServer) require(need adminRole) iris.Handler {
	return func(ctx iris.Context) {
		if !a.tokens.allows(bearerToken(ctx.Request()), need) {
			ctx.StopWithText(http.StatusForbidden, "the token does not have the role %s\n", need)
			return
		}
		ctx.Next()
	}
}

func (a *adminServer) readyz(ctx iris.Context) {
	switch {
	case !a.ready.Load():
		ctx.StopWithText(http.StatusServiceUnavailable, "draining\n")
	case a.entry.config.intent() == nil:
		ctx.StopWithText(http.StatusServiceUnavailable, "no configuration yet\n")
	default:
		_, _ = ctx.WriteString("ok\n")
	}
}

func (a *adminServer) metrics(ctx iris.Context) {
	a.entry.metrics.set.WritePrometheus(ctx.ResponseWriter())
	metrics.WriteProcessMetrics(ctx.ResponseWriter())
}

func (a *adminServer) state(ctx iris.Context) { _ = ctx.JSON(a.entry.view(a.ready.Load())) }

func (a *adminServer) audit(ctx iris.Context) {
	state, _ := a.entry.config.view()
	if state == nil {
		ctx.StopWithText(http.StatusServiceUnavailable, "no configuration yet\n")
		return
	}
	entries := append(a.entry.rollouts.orders(), state.Audit...)
	sort.SliceStable(entries, func(i, j int) bool { return entries[i].AtMillis < entries[j].AtMillis })
	_ = ctx.JSON(entries)
}

// drain begins a graceful shutdown, as SIGTERM does.
func (a *adminServer) drain(ctx iris.Context) {
	a.entry.Drain()
	ctx.StatusCode(http.StatusAccepted)
}

// explainBody is a request whose placement is asked for.
type explainBody struct {
	Path    string          `json:"path"`
	Account string          `json:"account"`
	Body    json.RawMessage `json:"body"`
}

// explain decides on a request without sending it.
func (a *adminServer) explain(ctx iris.Context) {
	var ask explainBody
	if err := ctx.ReadJSON(&ask); err != nil {
		ctx.StopWithText(http.StatusBadRequest, "expected path, account and body as JSON\n")
		return
	}
	req, err := parseRequestBody(ask.Path, ask.Body)
	if err != nil {
		ctx.StopWithText(http.StatusBadRequest, "%s\n", err.Error())
		return
	}
	intent := a.entry.config.intent()
	if intent == nil {
		ctx.StopWithText(http.StatusServiceUnavailable, "no configuration yet\n")
		return
	}
	_, pool, ok := routeForModel(intent, routesForPath(intent, ask.Path), req.Model)
	if !ok {
		ctx.StopWithText(http.StatusNotFound, "no route serves this path and model\n")
		return
	}
	a.explainIn(ctx, ask.Account, a.entry.pools.engine(pool.Name), req)
}

func (a *adminServer) explainIn(ctx iris.Context, account string, pool *enginePool, req openai.Request) {
	explained, err := pool.explain(newPlacementRequest(account, pool.currentModel(), pool.activeVersion(), req.Prompt))
	if err != nil {
		ctx.StopWithText(http.StatusServiceUnavailable, "%s\n", err.Error())
		return
	}
	_ = ctx.JSON(explained)
}
