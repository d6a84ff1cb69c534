package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/callerconn"
	"github.com/mastictray/mastictray/internal/callerlimit"
	"github.com/mastictray/mastictray/internal/httpdrain"
	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/socketbuffer"
)

const (
	// defaultCallerIdleTimeout is how long an idle caller connection is kept if the
	// configuration sets no limit.
	defaultCallerIdleTimeout = 15 * time.Second
	// callerIdleSlack is added to the limit. Otherwise a caller that keeps to the limit
	// would send a request just as its connection is closed.
	callerIdleSlack = time.Second
	// readHeaderTimeout bounds the time to receive a complete request head.
	readHeaderTimeout = 5 * time.Second
	// callerKeepAliveInterval is the interval of TCP keep-alive probes. The requests of a
	// caller whose connection was cut must not occupy targets for long.
	callerKeepAliveInterval = time.Second
	maxHeaderBytes          = 64 << 10
	// callerSendTimeout is the time after which a caller that takes nothing of its response is given
	// up.
	callerSendTimeout = 30 * time.Second
	// The limits of the servers for the platform and operators.
	internalReadTimeout    = 5 * time.Second
	maxInternalHeaderBytes = 8 << 10
	maxInternalConnections = 32
)

// callerServer holds the HTTP servers for callers, for the load balancer's readiness checks
// and for metrics.
type callerServer struct {
	g       *Gateway
	callers *httpdrain.Server
	// limit bounds what callers take of the instance.
	limit   *callerlimit.Limiter
	ready   *httpdrain.Server
	metrics *httpdrain.Server
}

func newCallerServer(g *Gateway) *callerServer {
	s := &callerServer{g: g}
	s.callers = httpdrain.New(&http.Server{Handler: g, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes})
	s.limit = callerlimit.New(callerlimit.Options{Now: g.clock.Now, Memory: g.memory, MaxConnections: g.settings.MaxCallerConnections})
	s.limit.Attach(s.callers)
	s.callers.Admit = func() bool { return g.newConns.admit(g.clock.Now()) }
	if g.settings.Features.BoundedMemory {
		options := g.slowCallerOptions()
		s.callers.WrapConn = func(c net.Conn) net.Conn { return callerconn.New(c, options) }
		s.callers.ConnContext = callerconn.WithConn
	} else {
		s.callers.SendTimeout = callerSendTimeout
	}
	readyMux := http.NewServeMux()
	readyMux.HandleFunc(g.dialect.ReadyPath(), s.answerReady)
	s.ready = g.newInternalServer(readyMux)
	metricsMux := http.NewServeMux()
	metricsMux.HandleFunc("GET /metrics", g.serveMetrics)
	metricsMux.HandleFunc("GET /admin/v1/state", g.serveState)
	s.metrics = g.newInternalServer(metricsMux)
	return s
}

// newInternalServer returns a server for the platform and operators, which have few connections.
// Others that reach its port must not take what callers need.
func (g *Gateway) newInternalServer(h http.Handler) *httpdrain.Server {
	s := httpdrain.New(&http.Server{
		Handler: h, ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: internalReadTimeout, MaxHeaderBytes: maxInternalHeaderBytes,
	})
	s.SendTimeout = callerSendTimeout
	callerlimit.New(callerlimit.Options{Now: g.clock.Now, Memory: g.memory, MaxConnections: maxInternalConnections}).Attach(s)
	return s
}

func (s *callerServer) listen() error {
	for _, l := range []struct {
		address string
		server  interface{ Serve(net.Listener) error }
	}{
		{s.g.settings.CallerListen, s.callers},
		{s.g.settings.ReadyListen, s.ready},
		{s.g.settings.MetricsListen, s.metrics},
	} {
		if l.address == "" {
			continue
		}
		config := net.ListenConfig{Control: socketbuffer.Callers.Control, KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: callerKeepAliveInterval, Interval: callerKeepAliveInterval, Count: 3,
		}}
		listener, err := config.Listen(context.Background(), "tcp", l.address)
		if err != nil {
			return errors.Wrapf(err, "listen on %s", l.address)
		}
		go func() {
			if err := l.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				logline.Error(err, "listener_failed", "address", l.address)
			}
		}()
	}
	return nil
}

func (s *callerServer) answerReady(w http.ResponseWriter, _ *http.Request) {
	if !s.g.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// closeIdle closes connections that have been idle for too long. http.Server.IdleTimeout is
// not used because it is fixed, while the configured limit changes at run time.
func (s *callerServer) closeIdle() {
	limit := defaultCallerIdleTimeout
	if t := s.g.table.Load(); t != nil && t.Config().Limits.IdleTimeout > 0 {
		limit = t.Config().Limits.IdleTimeout
	}
	s.callers.CloseIdle(limit + callerIdleSlack)
}

// shutdown stops accepting connections and waits until every request that has arrived is
// answered.
func (s *callerServer) shutdown(ctx context.Context) {
	logline.Info("draining_connections", "open", s.callers.OpenConns())
	if err := s.callers.Drain(ctx); err != nil {
		logline.Error(err, "drain_incomplete")
	}
	for _, server := range []*httpdrain.Server{s.ready, s.metrics} {
		if err := server.Close(); err != nil {
			logline.Error(err, "listener_close_failed")
		}
	}
}
