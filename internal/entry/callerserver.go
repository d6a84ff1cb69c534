package entry

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/mastictray/mastictray/internal/httpdrain"
	"github.com/mastictray/mastictray/internal/settings"
)

// headerReadTimeout bounds the time to read a request's header. Without it, a
// caller that sends one byte a minute could hold a connection indefinitely.
const headerReadTimeout = 10 * time.Second

// callerServer is the HTTP server for the callers' requests.
type callerServer struct {
	http      *httpdrain.Server
	openConns atomic.Int64
	maxConns  int64
}

func newCallerServer(s *settings.Settings, h http.Handler, tlsConfig *tls.Config) *callerServer {
	c := &callerServer{maxConns: int64(s.MaxConnections)}
	c.http = httpdrain.New(&http.Server{
		Handler:           h,
		TLSConfig:         tlsConfig,
		ReadHeaderTimeout: headerReadTimeout,
		ReadTimeout:       s.ReadTimeout,
		IdleTimeout:       s.IdleTimeout,
		MaxHeaderBytes:    s.MaxHeaderBytes,
		ConnState:         c.countConnection,
		ErrorLog:          newHTTPErrorLogger(),
	})
	return c
}

// countConnection is the ConnState hook that counts open connections.
func (c *callerServer) countConnection(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		c.openConns.Add(1)
	case http.StateClosed, http.StateHijacked:
		c.openConns.Add(-1)
	}
}

// overConnectionLimit reports whether more than the maximum number of
// connections are open. Excess connections are accepted and their requests
// refused with an error response, so that the caller learns the reason; a reset
// connection would not show it.
func (c *callerServer) overConnectionLimit() bool { return c.openConns.Load() > c.maxConns }

func (c *callerServer) serve(l net.Listener) error { return c.http.Serve(l) }

func (c *callerServer) shutdown(ctx context.Context) error { return c.http.Drain(ctx) }
