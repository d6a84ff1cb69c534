// Package linkproxy is a TCP proxy on loopback that simulates failures of links, for tests.
package linkproxy

import (
	"io"
	"maps"
	"net"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// State is how a proxy treats the data that it forwards.
type State int

const (
	// Forwarding forwards all data at once.
	Forwarding State = iota
	// Blackholed forwards nothing in either direction and keeps connections open.
	Blackholed
	// OneWay forwards requests but no responses.
	OneWay
	// Slow delays each chunk by SlowDelay.
	Slow
	// Resetting resets all connections, and new ones at once.
	Resetting
	// Down resets all connections and refuses new ones, like a machine without the process.
	Down
)

// SlowDelay is the delay of each chunk on a slow link.
const SlowDelay = 150 * time.Millisecond

func (s State) String() string {
	return [...]string{"passing", "silent", "one_way", "slow", "reset", "down"}[s]
}

// Change is a change of the state of a link.
type Change struct {
	At    time.Time
	State State
}

// Proxy forwards the connections to one address.
type Proxy struct {
	t       testing.TB
	address string
	backend string

	mu       sync.Mutex
	listener net.Listener
	state    State
	changed  *sync.Cond
	conns    map[*net.TCPConn]struct{}
	// silent holds the connections that carry nothing any more.
	silent  map[*net.TCPConn]struct{}
	changes []Change
}

// New starts a proxy that forwards to backend until the test ends.
func New(t testing.TB, backend string) *Proxy {
	t.Helper()
	p := &Proxy{t: t, address: "127.0.0.1:0", backend: backend, conns: map[*net.TCPConn]struct{}{}, silent: map[*net.TCPConn]struct{}{}}
	p.changed = sync.NewCond(&p.mu)
	p.listen()
	t.Cleanup(func() { p.Set(Down) })
	return p
}

// listen accepts connections at the proxy's address. While an outgoing connection of the machine
// uses the port, the link stays down. The caller holds p.mu or is New.
func (p *Proxy) listen() {
	l, err := net.Listen("tcp", p.address)
	switch {
	case err == nil:
		p.listener, p.address = l, l.Addr().String()
		go p.accept(l)
	case errors.Is(err, syscall.EADDRINUSE):
		time.AfterFunc(listenRetryInterval, p.listenAgain)
	default:
		p.t.Errorf("listen for %s: %v", p.backend, err)
	}
}

// listenRetryInterval is the time between two attempts to listen at a port that is in use.
const listenRetryInterval = 50 * time.Millisecond

// listenAgain listens unless the link is down again.
func (p *Proxy) listenAgain() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state != Down && p.listener == nil {
		p.listen()
	}
}

// Address returns the address of the proxy, an ip:port.
func (p *Proxy) Address() string { return p.address }

// Set changes the state of the link.
func (p *Proxy) Set(s State) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case s == Down && p.listener != nil:
		p.listener.Close()
		p.listener = nil
	case s != Down && p.state == Down && p.listener == nil:
		p.listen()
	}
	p.state = s
	p.changes = append(p.changes, Change{At: time.Now(), State: s})
	if s == Resetting || s == Down {
		for conn := range p.conns {
			resetConn(conn)
		}
		clear(p.conns)
		clear(p.silent)
	}
	p.changed.Broadcast()
}

// resetConn closes a connection with a TCP reset.
func resetConn(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// SilenceOpen makes the open connections carry nothing any more, without a reset. New
// connections work.
func (p *Proxy) SilenceOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.Copy(p.silent, p.conns)
	now := time.Now()
	p.changes = append(p.changes, Change{At: now, State: Blackholed}, Change{At: now.Add(1), State: p.state})
}

// Changes returns the changes of the link's state in their order. The silence of the open
// connections counts as a moment in state Blackholed.
func (p *Proxy) Changes() []Change {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.changes)
}

func (p *Proxy) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go p.forward(conn.(*net.TCPConn))
	}
}

// forward connects a new connection to the backend and copies both directions.
func (p *Proxy) forward(from *net.TCPConn) {
	if !p.track(from) {
		return
	}
	conn, err := net.Dial("tcp", p.backend)
	if err != nil {
		resetConn(from)
		return
	}
	to := conn.(*net.TCPConn)
	if !p.track(to) {
		resetConn(from)
		return
	}
	var directions sync.WaitGroup
	directions.Go(func() { p.copy(to, from, OneWay) })
	directions.Go(func() { p.copy(from, to, Forwarding) })
	directions.Wait()
	_ = to.Close()
	_ = from.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range []*net.TCPConn{from, to} {
		delete(p.conns, conn)
		delete(p.silent, conn)
	}
}

// track registers a connection. If the link is Resetting, it resets the connection instead and
// returns false.
func (p *Proxy) track(conn *net.TCPConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state == Resetting || p.state == Down {
		resetConn(conn)
		return false
	}
	p.conns[conn] = struct{}{}
	return true
}

// copy forwards one direction of a connection until it ends, and passes the end on. It is blocked in
// state Blackholed, and also in state blockedBy unless that is Forwarding.
func (p *Proxy) copy(from, to *net.TCPConn, blockedBy State) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if !p.waitToForward(from, blockedBy) {
				continue
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			if !p.waitToForward(from, blockedBy) {
				_ = from.Close() // the other side hears nothing of it
				return
			}
			if err == io.EOF {
				_ = to.CloseWrite()
				return
			}
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
}

// waitToForward waits while the direction is blocked, and for SlowDelay on a slow link. It
// returns false if the connection is silent.
func (p *Proxy) waitToForward(from *net.TCPConn, blockedBy State) bool {
	p.mu.Lock()
	for p.state == Blackholed || p.state != Forwarding && p.state == blockedBy {
		p.changed.Wait()
	}
	_, silent := p.silent[from]
	isSlow := p.state == Slow
	p.mu.Unlock()
	if isSlow {
		time.Sleep(SlowDelay)
	}
	return !silent
}
