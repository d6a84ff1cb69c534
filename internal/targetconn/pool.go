package targetconn

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// ErrNotSent marks an exchange of which no byte has reached the target.
var ErrNotSent = errors.New("target: nothing was sent")

// Options bound a Pool.
type Options struct {
	// DialTimeout bounds the time to a new connection.
	DialTimeout time.Duration
	// MaxIdle is the most idle connections kept for one target.
	MaxIdle int
	// IdleTimeout is how long an idle connection is kept where the target does
	// not say how long it keeps it.
	IdleTimeout time.Duration
	// ProbeInterval is the pause between probes of a silent connection; three
	// without an answer end it. A partition drops packets without a reset,
	// so nothing else would tell.
	ProbeInterval time.Duration
}

// DefaultOptions suit targets in the same region.
func DefaultOptions() Options {
	return Options{
		DialTimeout: 500 * time.Millisecond, // a round trip and one lost packet's repeat
		MaxIdle:     64,                     // one for each slot of a usual engine
		IdleTimeout:     4 * time.Second,        // under the shortest idle limit of usual servers
		ProbeInterval:   time.Second,            // so a cut shows after about four seconds
	}
}

// maxFailedProbes is the unanswered probes that end a connection.
const maxFailedProbes = 3

// Pool is the connections to all targets. It is safe for concurrent use.
type Pool struct {
	options Options
	dialer  net.Dialer
	now     func() time.Duration

	mu     sync.Mutex
	idle   map[string][]*Conn
	dialCount int64
}

// NewPool makes an empty pool that takes the time from now.
func NewPool(o Options, now func() time.Duration) *Pool {
	return &Pool{
		options: o, now: now, idle: map[string][]*Conn{},
		dialer: net.Dialer{
			Timeout: o.DialTimeout,
			KeepAliveConfig: net.KeepAliveConfig{
				Enable: true, Idle: o.ProbeInterval, Interval: o.ProbeInterval, Count: maxFailedProbes,
			},
			Control: userTimeoutControl(maxFailedProbes * o.ProbeInterval),
		},
	}
}

// userTimeoutControl ends a connection whose sent bytes are not acknowledged
// in time. Keep-alive probes are not sent while bytes are outstanding.
func userTimeoutControl(timeout time.Duration) func(string, string, syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var optErr error
		err := raw.Control(func(fd uintptr) {
			optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
		})
		return errors.CombineErrors(err, optErr)
	}
}

// Get gives an idle connection to the address that was idle for less than
// freshFor, or dials one. Its errors are marked ErrNotSent.
func (p *Pool) Get(ctx context.Context, addr string, maxIdleTime time.Duration) (*Conn, error) {
	for {
		c := p.popIdle(addr)
		if c == nil {
			return p.dial(ctx, addr)
		}
		if p.now()-c.idleSince < min(maxIdleTime, c.idleTimeout) && c.isReusable() {
			c.reused = true
			return c, nil
		}
		c.Close()
	}
}

// popIdle removes the connection that was used last: the others may go idle long
// enough to be closed.
func (p *Pool) popIdle(addr string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[addr] = list[:len(list)-1]
	return c
}

func (p *Pool) dial(ctx context.Context, addr string) (*Conn, error) {
	netConn, err := p.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "dial target=%s", addr), ErrNotSent)
	}
	p.mu.Lock()
	p.dialCount++
	p.mu.Unlock()
	limited := &limitedReader{r: netConn}
	return &Conn{addr: addr, netConn: netConn, limited: limited, r: bufio.NewReaderSize(limited, readBufferBytes), idleTimeout: p.options.IdleTimeout}, nil
}

// Put keeps a connection for another exchange, or closes it.
func (p *Pool) Put(c *Conn) {
	if c.broken || c.r.Buffered() > 0 {
		c.Close()
		return
	}
	c.idleSince = p.now()
	p.mu.Lock()
	list := p.idle[c.addr]
	var oldest *Conn
	if len(list) >= p.options.MaxIdle {
		oldest, list = list[0], list[1:]
	}
	p.idle[c.addr] = append(list, c)
	p.mu.Unlock()
	if oldest != nil {
		oldest.Close()
	}
}

// DialCount counts the connections made.
func (p *Pool) DialCount() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialCount
}

// CloseIdle closes the idle connections to an address, as when its target ended.
func (p *Pool) CloseIdle(addr string) {
	p.mu.Lock()
	list := p.idle[addr]
	delete(p.idle, addr)
	p.mu.Unlock()
	for _, c := range list {
		c.Close()
	}
}

// CloseExpired closes connections that were idle for too long.
func (p *Pool) CloseExpired() {
	now := p.now()
	var expired []*Conn
	p.mu.Lock()
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now-c.idleSince < c.idleTimeout {
				kept = append(kept, c)
			} else {
				expired = append(expired, c)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, addr)
		} else {
			p.idle[addr] = kept
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		c.Close()
	}
}
