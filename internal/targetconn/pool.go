package targetconn

import (
	"bufio"
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/mastictray/mastictray/internal/resetconn"
	"github.com/mastictray/mastictray/internal/socketbuffer"
)

// ErrNotSent marks errors of exchanges of which no byte has reached the target.
var ErrNotSent = errors.New("target: request not sent")

// DialFunc establishes a connection, like net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Options configure a Pool.
type Options struct {
	// Dial establishes connections; nil for TCP connections with keep-alive probes.
	Dial DialFunc
	// Usable reports whether an idle connection to an address may still be used; nil if all
	// may.
	Usable func(address string, c net.Conn) bool
	// DialTimeout limits the time to establish a connection.
	DialTimeout time.Duration
	// MaxIdle is the maximum number of idle connections per target.
	MaxIdle int
	// IdleTimeout is how long an idle connection is kept if the target does not
	// announce its own timeout in a Keep-Alive header.
	IdleTimeout time.Duration
	// ProbeInterval is the interval between TCP keep-alive probes of a silent
	// connection. It is closed after three intervals in which nothing was acknowledged.
	// A partition drops packets without a reset, so the loss would not be detected
	// otherwise.
	ProbeInterval time.Duration
}

// DefaultOptions returns options for targets in the same region.
func DefaultOptions() Options {
	return Options{
		DialTimeout:   500 * time.Millisecond, // many round trips; a lost packet is sent again later
		MaxIdle:       64,                     // one for each slot of a typical engine
		IdleTimeout:   4 * time.Second,        // below the shortest idle timeout of common servers
		ProbeInterval: time.Second,            // a lost connection is detected after three to four seconds
	}
}

// maxFailedProbes is the number of unanswered keep-alive probes after which a
// connection is closed.
const maxFailedProbes = 3

// Pool holds the connections to all targets. It is safe for concurrent use.
type Pool struct {
	options Options
	now     func() time.Duration

	mu        sync.Mutex
	idle      map[string][]*Conn
	dialCount int64
}

// NewPool returns an empty pool that uses now as its clock.
func NewPool(o Options, now func() time.Duration) *Pool {
	if o.Dial == nil {
		o.Dial = NewDialer(o).DialContext
	}
	return &Pool{options: o, now: now, idle: map[string][]*Conn{}}
}

// NewDialer returns a dialer of TCP connections that are closed when their remote side falls
// silent.
func NewDialer(o Options) *net.Dialer {
	return &net.Dialer{
		Timeout: o.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: o.ProbeInterval, Interval: o.ProbeInterval, Count: maxFailedProbes,
		},
		Control: socketControl(maxFailedProbes * o.ProbeInterval),
	}
}

// socketControl returns a net.Dialer.Control function that bounds the buffers and sets
// TCP_USER_TIMEOUT: the kernel closes a connection whose sent bytes are not
// acknowledged in time. It sends no keep-alive probes while bytes are
// unacknowledged. The timeout also decides when unanswered probes end a connection,
// whatever their number.
func socketControl(timeout time.Duration) func(string, string, syscall.RawConn) error {
	return func(network, address string, raw syscall.RawConn) error {
		if err := socketbuffer.Targets.Control(network, address, raw); err != nil {
			return err
		}
		var optErr error
		err := raw.Control(func(fd uintptr) {
			optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
		})
		return errors.CombineErrors(err, optErr)
	}
}

// Get returns a connection to the address that was idle for less than
// maxIdleTime, or dials one. Its errors are marked with ErrNotSent.
func (p *Pool) Get(ctx context.Context, addr string, maxIdleTime time.Duration) (*Conn, error) {
	for {
		c := p.popIdle(addr)
		if c == nil {
			return p.Dial(ctx, addr)
		}
		if p.now()-c.idleSince < min(maxIdleTime, c.idleTimeout) && p.isUsable(c) && c.isReusable() {
			c.reused = true
			return c, nil
		}
		c.Close()
	}
}

// popIdle removes and returns the most recently used idle connection, so that
// surplus connections stay unused and expire. It returns nil if there is none.
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

func (p *Pool) isUsable(c *Conn) bool {
	return p.options.Usable == nil || p.options.Usable(c.addr, c.netConn)
}

// Dial returns a new connection. Its errors are marked with ErrNotSent.
func (p *Pool) Dial(ctx context.Context, addr string) (*Conn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, p.options.DialTimeout)
	defer cancel()
	netConn, err := p.options.Dial(dialCtx, "tcp", addr)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "dial target=%s", addr), ErrNotSent)
	}
	return p.Wrap(addr, netConn), nil
}

// Wrap returns a new connection to a target that was established elsewhere.
func (p *Pool) Wrap(addr string, netConn net.Conn) *Conn {
	p.mu.Lock()
	p.dialCount++
	p.mu.Unlock()
	netConn = resetconn.Wrap(netConn) // the end of a connection may be that of a response
	limited := &limitedReader{r: netConn}
	return &Conn{addr: addr, netConn: netConn, limited: limited, r: bufio.NewReaderSize(limited, readBufferBytes), idleTimeout: p.options.IdleTimeout}
}

// Put returns a connection to the pool, or closes it if it can't be reused.
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

// DialCount returns the number of connections established.
func (p *Pool) DialCount() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialCount
}

// CloseIdle closes the idle connections to an address, for example after its
// target has stopped.
func (p *Pool) CloseIdle(addr string) {
	p.mu.Lock()
	list := p.idle[addr]
	delete(p.idle, addr)
	p.mu.Unlock()
	for _, c := range list {
		c.Close()
	}
}

// IdleAddresses returns the addresses with idle connections.
func (p *Pool) IdleAddresses() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Collect(maps.Keys(p.idle))
}

// CloseExpired closes the connections whose idle timeout has passed or that must not be used any
// more.
func (p *Pool) CloseExpired() {
	now := p.now()
	var expired []*Conn
	p.mu.Lock()
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now-c.idleSince < c.idleTimeout && p.isUsable(c) {
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
