package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/kataras/iris/v12"

	"github.com/VictoriaMetrics/metrics"

	"github.com/mastictray/mastictray/internal/openai"
)

// adminServer answers operators: health, metrics and the admin API.
type adminServer struct {
	entry *Entry
	app   *iris.Application
	http  *http.Server
	// ready is cleared when the process begins to drain.
	ready atomic.Bool
}

func newAdminServer(e *Entry) *adminServer {
	a := &adminServer{entry: e, app: iris.New()}
	a.ready.Store(true)
	a.app.Logger().SetOutput(io.Discard)
	a.app.Get("/livez", func(ctx iris.Context) { _, _ = ctx.WriteString("ok\n") })
	a.app.Get("/readyz", a.readyz)
	a.app.Get("/metrics", a.metrics)
	a.app.Get("/admin/v1/state", a.state)
	a.app.Post("/admin/v1/explain", a.explain)
	return a
}

func (a *adminServer) serve(l net.Listener) {
	if err := a.app.Build(); err != nil {
		return
	}
	a.http = &http.Server{Handler: a.app, ReadHeaderTimeout: headerReadTimeout, ErrorLog: discardLogger()}
	_ = a.http.Serve(l)
}

func (a *adminServer) close() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if a.http != nil {
		_ = a.http.Shutdown(ctx)
	}
}

func (a *adminServer) readyz(ctx iris.Context) {
	if !a.ready.Load() {
		ctx.StopWithText(http.StatusServiceUnavailable, "draining\n")
		return
	}
	if a.entry.config.intent() == nil {
		ctx.StopWithText(http.StatusServiceUnavailable, "no configuration yet\n")
		return
	}
	_, _ = ctx.WriteString("ok\n")
}

func (a *adminServer) metrics(ctx iris.Context) {
	a.entry.metrics.set.WritePrometheus(ctx.ResponseWriter())
	metrics.WriteProcessMetrics(ctx.ResponseWriter())
}

// stateBody is the answer of /admin/v1/state.
type stateBody struct {
	Instance    string   `json:"instance"`
	Incarnation string   `json:"incarnation"`
	Domain      string   `json:"domain"`
	Ready       bool     `json:"ready"`
	Revision    int64    `json:"revision"`
	Accounts    int      `json:"accounts"`
	Peers       []string `json:"peers"`
	RateShare   float64  `json:"rate_share"`
}

func (a *adminServer) state(ctx iris.Context) {
	e := a.entry
	body := stateBody{
		Instance: e.settings.InstanceID, Incarnation: e.node.Self().Incarnation, Domain: e.settings.Domain,
		Ready: a.ready.Load(), Revision: -1, Peers: e.members.addresses(), RateShare: e.rates.share(),
	}
	if intent := e.config.intent(); intent != nil {
		body.Revision = intent.Revision
		body.Accounts = len(intent.Accounts)
	}
	_ = ctx.JSON(body)
}

// explain decides on a request without sending it.
func (a *adminServer) explain(ctx iris.Context) {
	body, err := ctx.GetBody()
	if err != nil {
		ctx.StopWithText(http.StatusBadRequest, "the body could not be read\n")
		return
	}
	req, err := openai.ParseChat(body)
	if err != nil {
		ctx.StopWithText(http.StatusBadRequest, "%s\n", err.Error())
		return
	}
	intent := a.entry.config.intent()
	if intent == nil {
		ctx.StopWithText(http.StatusServiceUnavailable, "no configuration yet\n")
		return
	}
	account := ctx.URLParam("account")
	for _, pool := range intent.Pools {
		if pool.Model != req.Model {
			continue
		}
		engines := a.entry.pools.engine(pool.Name)
		exp, err := engines.explain(placementOf(account, intent.Models[pool.Model], engines.activeVersion(), req.Prompt))
		if err != nil {
			ctx.StopWithText(http.StatusServiceUnavailable, "%s\n", err.Error())
			return
		}
		_ = ctx.JSON(exp)
		return
	}
	ctx.StopWithText(http.StatusNotFound, "no pool serves this model\n")
}
