package standin

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"
)

// aLongTimeAgo as a deadline ends blocked reads.
var aLongTimeAgo = time.Unix(1, 0)

// LinkState is how the links of an instance to its targets behave.
type LinkState string

// The states of links.
const (
	// LinksUp carry everything.
	LinksUp LinkState = "up"
	// LinksHang drop all packets: open connections fall silent, new ones are not established.
	LinksHang LinkState = "hang"
	// LinksReset reset open connections and new ones.
	LinksReset LinkState = "reset"
	// LinksRefuse refuse new connections; open ones go on.
	LinksRefuse LinkState = "refuse"
)

// Links are the links of one instance to its targets.
type Links struct {
	mu      sync.Mutex
	state   LinkState
	changed chan struct{} // closed at each change of state
	conns   map[*linkConn]struct{}
}

// NewLinks returns links that are up.
func NewLinks() *Links {
	return &Links{state: LinksUp, changed: make(chan struct{}), conns: map[*linkConn]struct{}{}}
}

// Set changes the state of the links.
func (l *Links) Set(state LinkState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = state
	close(l.changed)
	l.changed = make(chan struct{})
	if state == LinksReset {
		for c := range l.conns {
			c.reset()
		}
		clear(l.conns)
	}
}

func (l *Links) current() (LinkState, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state, l.changed
}

// Dial establishes a TCP connection over the links.
func (l *Links) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	for {
		state, changed := l.current()
		switch state {
		case LinksHang:
			select {
			case <-changed:
				continue
			case <-ctx.Done():
				return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
			}
		case LinksReset, LinksRefuse:
			return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
		}
		var dialer net.Dialer
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		c := &linkConn{TCPConn: conn.(*net.TCPConn), links: l, closed: make(chan struct{})}
		l.mu.Lock()
		l.conns[c] = struct{}{}
		l.mu.Unlock()
		return c, nil
	}
}

// linkConn is a connection over Links.
type linkConn struct {
	*net.TCPConn
	links     *Links
	closeOnce sync.Once
	closed    chan struct{}
}

// Read waits while the links hang.
func (c *linkConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	return n, c.waitWhileHanging(err)
}

// Write waits while the links hang: the peer must not get the bytes.
func (c *linkConn) Write(b []byte) (int, error) {
	if err := c.waitWhileHanging(nil); err != nil {
		return 0, err
	}
	return c.TCPConn.Write(b)
}

// waitWhileHanging returns err once the links carry data, or net.ErrClosed if the connection is
// closed before.
func (c *linkConn) waitWhileHanging(err error) error {
	for {
		state, changed := c.links.current()
		if state != LinksHang {
			return err
		}
		select {
		case <-changed:
		case <-c.closed:
			return net.ErrClosed
		}
	}
}

// Close closes the connection. While the links hang, the peer does not learn of it.
func (c *linkConn) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.links.mu.Lock()
		delete(c.links.conns, c)
		c.links.mu.Unlock()
	})
	if state, _ := c.links.current(); state == LinksHang {
		go func() {
			c.waitUntilUp()
			_ = c.TCPConn.Close()
		}()
		return c.TCPConn.SetReadDeadline(aLongTimeAgo)
	}
	return c.TCPConn.Close()
}

func (c *linkConn) waitUntilUp() {
	for {
		state, changed := c.links.current()
		if state != LinksHang {
			return
		}
		<-changed
	}
}

// reset closes the connection with a TCP reset.
func (c *linkConn) reset() {
	_ = c.TCPConn.SetLinger(0)
	_ = c.TCPConn.Close()
}
