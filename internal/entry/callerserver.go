package entry

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/mastictray/mastictray/internal/callerlimit"
	"github.com/mastictray/mastictray/internal/httpdrain"
	"github.com/mastictray/mastictray/internal/settings"
)

const (
	// headerReadTimeout bounds the time to read a request's header. Without it, a
	// caller that sends one byte a minute could hold a connection indefinitely.
	headerReadTimeout = 10 * time.Second
	// callerSendTimeout is the time after which a caller that takes nothing of its response is given
	// up.
	callerSendTimeout = 30 * time.Second
)

// callerServer is the HTTP server for the callers' requests.
type callerServer struct {
	http  *httpdrain.Server
	limit *callerlimit.Limiter
}

func newCallerServer(s *settings.Settings, clock clock, memory *callerlimit.Memory, h http.Handler, tlsConfig *tls.Config) *callerServer {
	descriptors := callerlimit.ConnectionsFor(0)
	c := &callerServer{}
	c.http = httpdrain.New(&http.Server{
		Handler:           h,
		TLSConfig:         tlsConfig,
		ReadHeaderTimeout: headerReadTimeout,
		ReadTimeout:       s.ReadTimeout,
		IdleTimeout:       s.IdleTimeout,
		MaxHeaderBytes:    s.MaxHeaderBytes,
		ErrorLog:          newHTTPErrorLogger(),
		Protocols:         http1(),
	})
	c.http.SendTimeout = callerSendTimeout
	c.limit = callerlimit.New(callerlimit.Options{
		Now: clock.now, Memory: memory, MaxConnections: min(s.MaxConnections, descriptors), HardLimit: descriptors, Encrypted: tlsConfig != nil,
	})
	c.limit.Attach(c.http)
	return c
}

// http1 returns HTTP/1.1 alone: the limits of callers count connections, each with one request.
func http1() *http.Protocols {
	p := &http.Protocols{}
	p.SetHTTP1(true)
	return p
}

// overConnectionLimit reports whether more than the maximum number of
// connections are open. Excess connections for which no other caller can be evicted are accepted and
// their requests refused with an error response, so that the caller learns the reason; a reset
// connection would not show it.
func (c *callerServer) overConnectionLimit() bool {
	return c.limit.Connections() > c.limit.MaxConnections
}

func (c *callerServer) serve(l net.Listener) error { return c.http.Serve(l) }

func (c *callerServer) shutdown(ctx context.Context) error { return c.http.Drain(ctx) }
