package peer

import (
	"bufio"
	"context"
	"crypto/tls"
	"net"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/wire"
)

// Handler answers one call or takes one one-way message. The returned body is
// sent as the answer of a call. It runs in its own goroutine; ctx ends when
// the node closes.
type Handler func(ctx context.Context, from wire.Identity, f wire.Frame) (any, error)

// Options of a node.
type Options struct {
	Self wire.Identity
	// Secret is shared by all entry instances; at least 16 bytes.
	Secret []byte
	// TLS, when set, wraps every connection in both directions.
	TLS *tls.Config
}

// Node is this process on the peer network.
type Node struct {
	opts     Options
	handlers map[wire.Kind]Handler
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup

	mu       sync.Mutex
	conns    map[string]*conn // dialled, by address
	inbound  map[*conn]struct{}
	dialing  map[string]*dial
	listener net.Listener
	closed   bool
}

// dial is one attempt to connect that several callers wait for.
type dial struct {
	done chan struct{}
	c    *conn
	err  error
}

// NewNode returns a node that is not listening yet. Register handlers before
// Listen.
func NewNode(opts Options) *Node {
	ctx, cancel := context.WithCancel(context.Background())
	return &Node{
		opts:     opts,
		handlers: make(map[wire.Kind]Handler),
		ctx:      ctx,
		cancel:   cancel,
		conns:    make(map[string]*conn),
		inbound:  make(map[*conn]struct{}),
		dialing:  make(map[string]*dial),
	}
}

// Handle registers the handler of a kind.
func (n *Node) Handle(kind wire.Kind, h Handler) { n.handlers[kind] = h }

// Self is this process's identity.
func (n *Node) Self() wire.Identity { return n.opts.Self }

// Serve accepts peers on the listener until the node closes.
func (n *Node) Serve(l net.Listener) {
	n.mu.Lock()
	n.listener = l
	n.mu.Unlock()
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		for {
			raw, err := l.Accept()
			if err != nil {
				return
			}
			n.wg.Add(1)
			go func() {
				defer n.wg.Done()
				n.accept(raw)
			}()
		}
	}()
}

func (n *Node) accept(raw net.Conn) {
	if n.opts.TLS != nil {
		raw = tls.Server(raw, n.opts.TLS)
	}
	r := bufio.NewReader(raw)
	from, err := handshake(raw, r, n.opts.Self, n.opts.Secret, roleListener)
	if err != nil {
		logline.Error(err, "peer_refused", "peer", raw.RemoteAddr())
		raw.Close()
		return
	}
	c := newConn(raw, r, from)
	if !n.track(c) {
		raw.Close()
		return
	}
	c.run(n.serve)
	n.mu.Lock()
	delete(n.inbound, c)
	n.mu.Unlock()
}

func (n *Node) track(c *conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	n.inbound[c] = struct{}{}
	return true
}

func (n *Node) serve(from wire.Identity, f wire.Frame) (wire.Frame, bool) {
	ans := wire.Frame{ID: f.ID, IsResponse: true, Kind: f.Kind}
	h, ok := n.handlers[f.Kind]
	if !ok {
		ans.Err = "unknown kind"
		return ans, f.ID != 0
	}
	body, err := h(n.ctx, from, f)
	if f.ID == 0 {
		return ans, false
	}
	if err != nil {
		ans.Err = err.Error()
		return ans, true
	}
	full, err := wire.NewFrame(f.ID, f.Kind, body)
	if err != nil {
		ans.Err = err.Error()
		return ans, true
	}
	full.IsResponse = true
	return full, true
}

// Call sends a message to the peer at addr and decodes its answer. Errors:
// ErrBroken (the peer may have acted), ErrRefused, or the context's. The
// answer's sender is returned, since another incarnation may answer at a
// known address.
func (n *Node) Call(ctx context.Context, addr string, kind wire.Kind, body, answer any) (wire.Identity, error) {
	c, err := n.connect(ctx, addr)
	if err != nil {
		return wire.Identity{}, err
	}
	f, err := wire.NewFrame(0, kind, body)
	if err != nil {
		return c.from, err
	}
	ans, err := c.call(ctx, f)
	if err != nil {
		return c.from, err
	}
	if answer == nil {
		return c.from, nil
	}
	return c.from, ans.DecodeBody(answer)
}

// Send sends a one-way message; nil says only that it was written.
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

// connect returns the live connection to addr, or dials one. Callers that
// come while a dial runs share it.
func (n *Node) connect(ctx context.Context, addr string) (*conn, error) {
	n.mu.Lock()
	if c := n.conns[addr]; c != nil && c.alive() {
		n.mu.Unlock()
		return c, nil
	}
	if n.closed {
		n.mu.Unlock()
		return nil, errors.Wrapf(ErrBroken, "node closed peer=%s", addr)
	}
	d := n.dialing[addr]
	if d == nil {
		d = &dial{done: make(chan struct{})}
		n.dialing[addr] = d
		n.wg.Add(1)
		go func() {
			defer n.wg.Done()
			n.dial(addr, d)
		}()
	}
	n.mu.Unlock()
	select {
	case <-d.done:
		return d.c, d.err
	case <-ctx.Done():
		return nil, errors.Wrapf(ctx.Err(), "dial peer=%s", addr)
	}
}

func (n *Node) dial(addr string, d *dial) {
	c, err := n.open(addr)
	n.mu.Lock()
	delete(n.dialing, addr)
	if err == nil && n.closed {
		err = errors.Wrapf(ErrBroken, "node closed peer=%s", addr)
		c.raw.Close()
	}
	if err == nil {
		n.conns[addr] = c
		n.wg.Add(1)
		go func() {
			defer n.wg.Done()
			c.run(n.serve)
		}()
	}
	n.mu.Unlock()
	d.c, d.err = c, err
	close(d.done)
}

func (n *Node) open(addr string) (*conn, error) {
	dialer := net.Dialer{Timeout: handshakeTimeout}
	raw, err := dialer.DialContext(n.ctx, "tcp", addr)
	if err != nil {
		return nil, errors.Wrapf(err, "dial peer=%s", addr)
	}
	if n.opts.TLS != nil {
		raw = tls.Client(raw, n.opts.TLS)
	}
	r := bufio.NewReader(raw)
	from, err := handshake(raw, r, n.opts.Self, n.opts.Secret, roleDialer)
	if err != nil {
		raw.Close()
		return nil, err
	}
	return newConn(raw, r, from), nil
}

// Close ends every connection and waits for the node's goroutines.
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

// Drop ends the connection to an address. A call that got no answer in time
// may have gone into a connection that is silent for good while a new one
// would work.
func (n *Node) Drop(addr string) {
	n.mu.Lock()
	c := n.conns[addr]
	delete(n.conns, addr)
	n.mu.Unlock()
	if c != nil {
		c.close()
	}
}
