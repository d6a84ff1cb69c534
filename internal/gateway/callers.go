package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/logline"
)

const (
	// defaultCallerIdleTimeout is how long a caller's idle connection is kept where the
	// configuration does not say.
	defaultCallerIdleTimeout = 15 * time.Second
	// callerIdleSlack is added to it: a caller that keeps to the limit would
	// otherwise send just as the connection closes.
	callerIdleSlack = time.Second
	// readHeaderTimeout bounds the time to a whole head.
	readHeaderTimeout = 5 * time.Second
	// callerKeepAliveInterval is the pause between probes of a silent caller: one
	// that was cut off must not hold its targets for long.
	callerKeepAliveInterval = time.Second
	maxHeaderBytes          = 64 << 10
)

// callerServer is the listeners for callers, the balancer and metrics.
type callerServer struct {
	g       *Gateway
	callers *http.Server
	ready   *http.Server
	metrics *http.Server

	mu   sync.Mutex
	idle map[net.Conn]time.Time
}

func newCallerServer(g *Gateway) *callerServer {
	s := &callerServer{g: g, idle: map[net.Conn]time.Time{}}
	s.callers = &http.Server{
		Handler: g, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes, ConnState: s.trackIdle,
	}
	mux := http.NewServeMux()
	mux.HandleFunc(g.dialect.ReadyPath(), s.answerReady)
	s.ready = &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	counts := http.NewServeMux()
	counts.HandleFunc("GET /metrics", g.serveMetrics)
	counts.HandleFunc("GET /admin/v1/state", g.serveState)
	s.metrics = &http.Server{Handler: counts, ReadHeaderTimeout: readHeaderTimeout}
	return s
}

func (s *callerServer) listen() error {
	for _, l := range []struct {
		address string
		server  *http.Server
	}{
		{s.g.settings.CallerListen, s.callers},
		{s.g.settings.ReadyListen, s.ready},
		{s.g.settings.MetricsListen, s.metrics},
	} {
		if l.address == "" {
			continue
		}
		config := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: callerKeepAliveInterval, Interval: callerKeepAliveInterval, Count: 3,
		}}
		listener, err := config.Listen(context.Background(), "tcp", l.address)
		if err != nil {
			return errors.Wrapf(err, "listen at %s", l.address)
		}
		go func() {
			if err := l.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				logline.Error(err, "listener_ended", "address", l.address)
			}
		}()
	}
	return nil
}

func (s *callerServer) answerReady(w http.ResponseWriter, _ *http.Request) {
	if !s.g.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// trackIdle notes which connections are idle, and since when. The limit is the
// configuration's and changes while the server runs, so the server's own,
// which is fixed, is left off.
func (s *callerServer) trackIdle(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateIdle || state == http.StateNew {
		s.idle[c] = time.Now()
	} else {
		delete(s.idle, c)
	}
}

// closeIdle closes connections that were idle for too long.
func (s *callerServer) closeIdle() {
	limit := defaultCallerIdleTimeout
	if t := s.g.table.Load(); t != nil && t.Config().Limits.IdleTimeout > 0 {
		limit = t.Config().Limits.IdleTimeout
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, since := range s.idle {
		if time.Since(since) > limit+callerIdleSlack {
			// The server forgets the connection once it is closed.
			_ = c.Close()
			delete(s.idle, c)
		}
	}
}

// shutdown takes no new connections and waits for running requests.
func (s *callerServer) shutdown(ctx context.Context) {
	if err := s.callers.Shutdown(ctx); err != nil {
		logline.Error(err, "drain_incomplete")
	}
	for _, server := range []*http.Server{s.ready, s.metrics} {
		if err := server.Close(); err != nil {
			logline.Error(err, "listener_unclosed")
		}
	}
}
