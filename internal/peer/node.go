package peer

import (
	"bufio"
	"context"
	"crypto/tls"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/socketbuffer"
	"github.com/mastictray/mastictray/internal/wire"
)

// Handler handles a call or a one-way message. For a call, the returned body or
// error is sent as the response. Each frame is handled in its own goroutine; ctx is
// cancelled when the node closes.
type Handler func(ctx context.Context, from wire.Identity, f wire.Frame) (any, error)

// Options configure a Node.
type Options struct {
	Self wire.Identity
	// Secret is shared by all instances; at least 16 bytes.
	Secret []byte
	// TLS, if set, secures both inbound and outbound connections.
	TLS *tls.Config
	// Idempotent are the kinds of calls that may be executed twice. They are sent again on a
	// new connection if the first one goes silent.
	Idempotent []wire.Kind
}

// Node is this process's endpoint of the peer network.
type Node struct {
	opts     Options
	handlers map[wire.Kind]Handler
	streams  map[wire.Kind]StreamHandler
	// unauthenticated are the connections whose other side has not proved that it is a peer.
	unauthenticated unauthenticated
	ctx             context.Context
	cancel          context.CancelFunc
	wg              sync.WaitGroup

	mu       sync.Mutex
	conns    map[string]*conn // outbound, by address
	inbound  map[*conn]struct{}
	dialing  map[string]*dialAttempt
	listener net.Listener
	closed   bool
}

// dialAttempt is an attempt to connect, shared by concurrent callers.
type dialAttempt struct {
	done chan struct{}
	c    *conn
	err  error
}

// NewNode returns a node that is not listening yet. Handlers must be registered
// before Serve and before the first call.
func NewNode(opts Options) *Node {
	ctx, cancel := context.WithCancel(context.Background())
	return &Node{
		opts:     opts,
		handlers: make(map[wire.Kind]Handler),
		streams:  make(map[wire.Kind]StreamHandler),
		ctx:      ctx,
		cancel:   cancel,
		conns:    make(map[string]*conn),
		inbound:  make(map[*conn]struct{}),
		dialing:  make(map[string]*dialAttempt),
	}
}

// Handle registers the handler for a kind of message.
func (n *Node) Handle(kind wire.Kind, h Handler) { n.handlers[kind] = h }

// HandleStream registers the handler for streams that are opened with a kind of message.
func (n *Node) HandleStream(kind wire.Kind, h StreamHandler) { n.streams[kind] = h }

// Self returns this process's identity.
func (n *Node) Self() wire.Identity { return n.opts.Self }

// Serve accepts peer connections on a listener in the background until the node
// closes.
func (n *Node) Serve(l net.Listener) {
	n.mu.Lock()
	n.listener = l
	n.mu.Unlock()
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		for {
			raw, err := l.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil {
				// The process may be out of descriptors for a while.
				logline.Error(err, "peer_accept_failed", "retry", acceptRetryDelay)
				time.Sleep(acceptRetryDelay)
				continue
			}
			proved := n.unauthenticated.add(raw)
			n.wg.Add(1)
			go func() {
				defer n.wg.Done()
				n.accept(raw, proved)
			}()
		}
	}()
}

// acceptRetryDelay is the pause after a connection could not be accepted.
const acceptRetryDelay = 50 * time.Millisecond

// accept serves a connection. proved is called once its other side has proved that it is a peer, or
// has failed to.
func (n *Node) accept(raw net.Conn, proved func()) {
	defer proved()
	socket := raw
	if n.opts.TLS != nil {
		raw = tls.Server(raw, n.opts.TLS)
	}
	source := &timedReader{r: raw}
	r := bufio.NewReader(source)
	from, err := handshake(raw, r, n.opts.Self, n.opts.Secret, roleListener)
	if err != nil {
		logline.Error(err, "peer_refused", "peer", raw.RemoteAddr())
		raw.Close()
		return
	}
	proved()
	c := newConn(raw, r, source, from)
	if !n.trackInbound(c) {
		raw.Close()
		return
	}
	defer func() {
		n.mu.Lock()
		delete(n.inbound, c)
		n.mu.Unlock()
	}()
	first, err := wire.Read(r)
	if err != nil {
		c.close()
		return
	}
	if h, ok := n.streams[first.Kind]; ok && !first.IsResponse {
		socketbuffer.Targets.Limit(socket)
		h(n.ctx, &Stream{raw: raw, r: r, remote: from}, first)
		return
	}
	c.run(&first, n.serve)
}

func (n *Node) trackInbound(c *conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	n.inbound[c] = struct{}{}
	return true
}

func (n *Node) serve(from wire.Identity, f wire.Frame) (wire.Frame, bool) {
	resp := wire.Frame{ID: f.ID, IsResponse: true, Kind: f.Kind}
	h, ok := n.handlers[f.Kind]
	if !ok {
		resp.Err = "unknown message kind"
		return resp, f.ID != 0
	}
	body, err := h(n.ctx, from, f)
	if f.ID == 0 {
		return resp, false
	}
	if err != nil {
		resp.Err = err.Error()
		return resp, true
	}
	withBody, err := wire.NewFrame(f.ID, f.Kind, body)
	if err != nil {
		resp.Err = err.Error()
		return resp, true
	}
	withBody.IsResponse = true
	return withBody, true
}

// Call makes a call to the peer at addr and decodes the response unless that is nil.
// It fails with ErrBroken or ErrSilent (the peer may have executed the call), ErrRefused, the
// context's error, or an error of dialling or of the codec. It returns the identity
// of the responder, since a new incarnation may have taken over the address.
func (n *Node) Call(ctx context.Context, addr string, kind wire.Kind, body, response any) (wire.Identity, error) {
	for {
		from, err := n.callOnce(ctx, addr, kind, body, response)
		if !errors.Is(err, ErrSilent) || ctx.Err() != nil || !slices.Contains(n.opts.Idempotent, kind) {
			return from, err
		}
	}
}

// callOnce makes a call on one connection.
func (n *Node) callOnce(ctx context.Context, addr string, kind wire.Kind, body, response any) (wire.Identity, error) {
	c, err := n.connect(ctx, addr)
	if err != nil {
		return wire.Identity{}, err
	}
	f, err := wire.NewFrame(0, kind, body)
	if err != nil {
		return c.remote, err
	}
	resp, err := c.call(ctx, f, func() { n.replace(addr, c) })
	if err != nil {
		return c.remote, err
	}
	if response == nil {
		return c.remote, nil
	}
	return c.remote, resp.DecodeBody(response)
}

// replace dials a new connection in the background and uses it instead of one that seems
// silent, unless data arrives on that one meanwhile. The calls on the silent one fail with
// ErrSilent.
func (n *Node) replace(addr string, silent *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed || n.conns[addr] != silent || !silent.replacing.CompareAndSwap(false, true) {
		return
	}
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		defer silent.replacing.Store(false)
		quietSince := silent.source.lastRead()
		c, err := n.dialPeer(addr)
		if err != nil {
			logline.InfoSampled("peer_conn_not_replaced", "peer", addr, "quiet", time.Since(quietSince), "error", err)
			return
		}
		if !n.swap(addr, silent, c, quietSince) {
			c.raw.Close()
			return
		}
		logline.Info("peer_conn_silent", "peer", addr, "instance", c.remote.Instance, "quiet", time.Since(quietSince))
		silent.replaced.Store(true)
		silent.close()
	}()
}

// swap makes c the connection to an address instead of old. It returns false if old is no
// longer in use, or is not silent.
func (n *Node) swap(addr string, old, c *conn, quietSince time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed || n.conns[addr] != old || old.source.lastRead().After(quietSince) {
		return false
	}
	c.latency = old.recentLatency()
	n.use(addr, c)
	return true
}

// use makes c the connection to an address. The caller holds n.mu.
func (n *Node) use(addr string, c *conn) {
	n.conns[addr] = c
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		c.run(nil, n.serve)
	}()
}

// Send sends a one-way message. A nil error means only that it was written to the
// connection.
func (n *Node) Send(ctx context.Context, addr string, kind wire.Kind, body any) error {
	c, err := n.connect(ctx, addr)
	if err != nil {
		return err
	}
	f, err := wire.NewFrame(0, kind, body)
	if err != nil {
		return err
	}
	return c.write(f)
}

// connect returns the open connection to addr or dials one. Concurrent callers share
// one dial.
func (n *Node) connect(ctx context.Context, addr string) (*conn, error) {
	n.mu.Lock()
	if c := n.conns[addr]; c != nil && c.isOpen() {
		n.mu.Unlock()
		return c, nil
	}
	if n.closed {
		n.mu.Unlock()
		return nil, errors.Wrapf(ErrBroken, "node closed peer=%s", addr)
	}
	attempt := n.dialing[addr]
	if attempt == nil {
		attempt = &dialAttempt{done: make(chan struct{})}
		n.dialing[addr] = attempt
		n.wg.Add(1)
		go func() {
			defer n.wg.Done()
			n.dial(addr, attempt)
		}()
	}
	n.mu.Unlock()
	select {
	case <-attempt.done:
		return attempt.c, attempt.err
	case <-ctx.Done():
		return nil, errors.Wrapf(ctx.Err(), "dial peer=%s", addr)
	}
}

func (n *Node) dial(addr string, attempt *dialAttempt) {
	c, err := n.dialPeer(addr)
	n.mu.Lock()
	delete(n.dialing, addr)
	if err == nil && n.closed {
		err = errors.Wrapf(ErrBroken, "node closed peer=%s", addr)
		c.raw.Close()
	}
	if err == nil {
		n.use(addr, c)
	}
	n.mu.Unlock()
	attempt.c, attempt.err = c, err
	close(attempt.done)
}

func (n *Node) dialPeer(addr string) (*conn, error) {
	source := &timedReader{}
	raw, r, from, err := n.dialAndAuthenticate(n.ctx, addr, source, socketbuffer.Bounds{})
	if err != nil {
		return nil, err
	}
	return newConn(raw, r, source, from), nil
}

// Listen listens for peers. Connections that the other side gave up as silent end by their
// keep-alive.
func Listen(ctx context.Context, addr string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive}
	l, err := config.Listen(ctx, "tcp", addr)
	return l, errors.Wrapf(err, "listen for peers at %s", addr)
}

// keepAlive makes a connection end within about four seconds after its peer's machine has
// failed.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3}

// dialAndAuthenticate connects to a peer and makes the handshake. Data is read through source.
func (n *Node) dialAndAuthenticate(ctx context.Context, addr string, source *timedReader, buffers socketbuffer.Bounds) (net.Conn, *bufio.Reader, wire.Identity, error) {
	dialer := net.Dialer{Timeout: handshakeTimeout, KeepAliveConfig: keepAlive, Control: buffers.Control}
	raw, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, nil, wire.Identity{}, errors.Wrapf(err, "dial peer=%s", addr)
	}
	if n.opts.TLS != nil {
		raw = tls.Client(raw, n.opts.TLS)
	}
	stop := context.AfterFunc(ctx, func() { raw.Close() })
	source.r = raw
	r := bufio.NewReader(source)
	from, err := handshake(raw, r, n.opts.Self, n.opts.Secret, roleDialer)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		raw.Close()
		return nil, nil, wire.Identity{}, err
	}
	return raw, r, from, nil
}

// Close closes the listener and all connections and waits for the node's goroutines.
func (n *Node) Close() {
	n.cancel()
	n.mu.Lock()
	n.closed = true
	if n.listener != nil {
		n.listener.Close()
	}
	for _, c := range n.conns {
		c.raw.Close()
	}
	for c := range n.inbound {
		c.raw.Close()
	}
	n.mu.Unlock()
	n.wg.Wait()
}

// QuietFor returns the time since data last arrived on the connection to an address, and false
// if there is no such connection.
func (n *Node) QuietFor(addr string) (time.Duration, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := n.conns[addr]
	if c == nil || !c.isOpen() {
		return 0, false
	}
	return time.Since(c.source.lastRead()), true
}

// Drop closes the connection to an address. After a call that timed out, the
// connection may be dead although a new one would work.
func (n *Node) Drop(addr string) {
	n.mu.Lock()
	c := n.conns[addr]
	delete(n.conns, addr)
	n.mu.Unlock()
	if c != nil {
		c.close()
	}
}
