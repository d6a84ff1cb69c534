package httpdrain

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// newConnTimeout is how long a new connection without a request stays open while the
	// server drains. Callers send their first request right after they have connected.
	newConnTimeout = time.Second
	// idleLinger is how long a connection stays open after a response while the server drains.
	// Callers that send one request after the other would lose the next one: the head of the
	// response may have been sent before the drain and not tell them to close.
	idleLinger = 250 * time.Millisecond
	// defaultStallTimeout is how long the head of a request may take to arrive if the server
	// has no ReadHeaderTimeout.
	defaultStallTimeout = 10 * time.Second
	// drainPollInterval is the interval at which a draining server looks for connections
	// that are to be ended.
	drainPollInterval = 10 * time.Millisecond
	// listenerPollInterval and maxListenerPolls bound the wait for connections that are not
	// accepted yet. They reset if the listener closes first.
	listenerPollInterval = time.Millisecond
	maxListenerPolls     = 500
)

// Server is an http.Server whose Drain loses no request.
type Server struct {
	*http.Server
	// WrapConn, if set before Serve, wraps each accepted connection for the HTTP server. The
	// wrapper needs a method NetConn that returns what it wraps, and must close it in the end.
	WrapConn func(net.Conn) net.Conn
	// Admit, if set before Serve, decides whether an accepted connection is kept. One that isn't
	// is reset before anything is read from it.
	Admit func() bool
	// Accepted, if set before Serve, returns what bounds a connection that Admit has let in. One
	// for which it returns false is reset.
	Accepted func(Socket) (Guard, bool)
	// SendTimeout, if set before Serve, is the time after which a caller that takes nothing of its
	// response is given up.
	SendTimeout time.Duration
	onState     func(net.Conn, http.ConnState)

	mu       sync.Mutex
	listener *listener
	// serveEnded is closed when Serve has ended, so that all accepted connections are known.
	serveEnded chan struct{}
	// conns holds the open connections, except those that use HTTP/2.
	conns    map[*conn]struct{}
	draining bool
}

// Socket is a connection as its Guard sees it.
type Socket interface {
	RemoteAddr() net.Addr
	// Abort closes the connection at once.
	Abort()
	// InterruptRead makes the reading of a request that is arriving fail.
	InterruptRead()
	// SetReadBuffer sets the size of the kernel's receive buffer.
	SetReadBuffer(bytes int) error
}

// Guard bounds what a connection uses.
type Guard interface {
	// Received is called with what was read. An error ends the connection.
	Received(b []byte) error
	// Sending is called with true when a write begins and each time when the caller has taken a part
	// of it, and with false when it ends.
	Sending(active bool)
	// StateChanged is called with the states that the HTTP server reports.
	StateChanged(http.ConnState)
	// Closed is called when the connection is closed, possibly more than once.
	Closed()
}

// guard reports whether a connection is kept.
func (d *Server) guard(c *conn) bool {
	c.sendTimeout = d.SendTimeout
	if d.Accepted == nil {
		return true
	}
	g, ok := d.Accepted(c)
	if ok {
		c.guard = g
	}
	return ok
}

type guardKey struct{}

// GuardOf returns what bounds the connection on which a request came; nil for nothing.
func GuardOf(ctx context.Context) Guard {
	g, _ := ctx.Value(guardKey{}).(Guard)
	return g
}

// New returns a Server for the given server, whose ConnState hook it replaces by one that
// calls it.
func New(s *http.Server) *Server {
	d := &Server{Server: s, onState: s.ConnState, conns: map[*conn]struct{}{}}
	s.ConnState = d.trackState
	return d
}

// addGuard makes the guard of a connection available to GuardOf. Context functions that were set
// before apply too.
func (d *Server) addGuard() {
	before := d.ConnContext
	d.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		if before != nil {
			ctx = before(ctx, nc)
		}
		if c, _ := unwrap(nc); c != nil && c.guard != nil {
			ctx = context.WithValue(ctx, guardKey{}, c.guard)
		}
		return ctx
	}
}

// Serve accepts connections until the server drains or fails; like http.Server.Serve, it
// always returns an error, and http.ErrServerClosed after a drain. It uses TLS if the server
// has a TLS configuration.
func (d *Server) Serve(l net.Listener) error {
	tracked := &listener{Listener: l, server: d}
	ended := make(chan struct{})
	defer close(ended)
	if d.Accepted != nil {
		d.addGuard()
	}
	d.mu.Lock()
	d.listener, d.serveEnded = tracked, ended
	d.mu.Unlock()
	serve := d.Server.Serve
	if d.TLSConfig != nil {
		serve = func(l net.Listener) error { return d.ServeTLS(l, "", "") }
	}
	err := serve(tracked)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.draining {
		return http.ErrServerClosed
	}
	return err
}

// OpenConns returns the number of open connections, except those that use HTTP/2.
func (d *Server) OpenConns() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.conns)
}

// CloseIdle closes the connections that have been idle, or without a first request, for
// longer than limit.
func (d *Server) CloseIdle(limit time.Duration) {
	d.endConns(func(c *conn) bool {
		return (c.state == http.StateIdle || c.state == http.StateNew) && time.Since(c.since) > limit
	})
}

// Drain stops accepting connections, closes those without a request and waits until all
// others have had their response. It returns an error if ctx ends first.
func (d *Server) Drain(ctx context.Context) error {
	listenErr := d.stopListening(ctx)
	for {
		d.endConns(func(c *conn) bool {
			idle := time.Since(c.since)
			return c.state == http.StateIdle && idle > idleLinger || c.state == http.StateNew && idle > newConnTimeout
		})
		if d.OpenConns() == 0 {
			break
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "wait for %d connections", d.OpenConns())
		case <-time.After(drainPollInterval):
		}
	}
	if listenErr != nil {
		return listenErr
	}
	// What is left are connections that use HTTP/2, which tell their callers to stop sending
	// before they close.
	return errors.Wrap(d.Shutdown(ctx), "shut down")
}

// stopListening closes the listener once no connection waits to be accepted.
func (d *Server) stopListening(ctx context.Context) error {
	d.mu.Lock()
	d.draining = true
	l, serveEnded := d.listener, d.serveEnded
	d.mu.Unlock()
	if l == nil {
		return nil
	}
	for range maxListenerPolls {
		if !l.hasPending() || ctx.Err() != nil {
			break
		}
		time.Sleep(listenerPollInterval)
	}
	if err := l.Close(); err != nil {
		return errors.Wrap(err, "close listener")
	}
	select {
	case <-serveEnded:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for the last accepted connection")
	}
}

// endConns ends the connections for which due returns true.
func (d *Server) endConns(due func(*conn) bool) {
	stallTimeout := d.ReadHeaderTimeout
	if stallTimeout <= 0 {
		stallTimeout = defaultStallTimeout
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for c := range d.conns {
		if due(c) {
			c.end(stallTimeout)
		}
	}
}

func (d *Server) add(c *conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.conns[c] = struct{}{}
}

func (d *Server) remove(c *conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.conns, c)
}

// trackState is the ConnState hook of the HTTP server.
func (d *Server) trackState(nc net.Conn, state http.ConnState) {
	if d.onState != nil {
		d.onState(nc, state)
	}
	c, isHTTP2 := unwrap(nc)
	if c == nil {
		return
	}
	if c.guard != nil {
		c.guard.StateChanged(state)
	}
	if isHTTP2 || state == http.StateHijacked {
		d.remove(c)
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	c.state, c.since = state, time.Now()
	switch state {
	case http.StateIdle:
		c.setIdle()
	case http.StateActive:
		c.setReceived() // its bytes may have been read together with the previous request
	}
}

// unwrap returns the connection below TLS and other wrappers, and whether it uses HTTP/2.
func unwrap(nc net.Conn) (c *conn, isHTTP2 bool) {
	if t, ok := nc.(*tls.Conn); ok {
		isHTTP2 = t.ConnectionState().NegotiatedProtocol == "h2"
	}
	for {
		wrapper, ok := nc.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		nc = wrapper.NetConn()
	}
	c, _ = nc.(*conn)
	return c, isHTTP2
}
