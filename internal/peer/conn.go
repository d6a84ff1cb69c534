package peer

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/wire"
)

// writeTimeout bounds one write. A peer that stops reading (frozen) would
// otherwise block every sender that shares the connection.
const writeTimeout = 2 * time.Second

// maxServing bounds the calls of one peer that are served at once. More wait
// in the connection, so a peer gone wild cannot pile up goroutines here.
const maxServing = 256

// Errors of a call.
var (
	// ErrBroken: the connection ended before the answer came; the peer may
	// have acted on the call.
	ErrBroken = errors.New("peer: connection broken")
	// ErrRefused: the peer answered with an error.
	ErrRefused = errors.New("peer: refused")
)

// conn is one authenticated connection, used in both directions.
type conn struct {
	raw  net.Conn
	r    *bufio.Reader
	from wire.Identity

	writeMu sync.Mutex
	buf     []byte

	mu      sync.Mutex
	nextID  uint64
	waiting map[uint64]chan wire.Frame
	broken  bool

	serving chan struct{}
	done    chan struct{}
}

func newConn(raw net.Conn, r *bufio.Reader, from wire.Identity) *conn {
	return &conn{
		raw:     raw,
		r:       r,
		from:    from,
		waiting: make(map[uint64]chan wire.Frame),
		serving: make(chan struct{}, maxServing),
		done:    make(chan struct{}),
	}
}

// write sends one frame. Any error breaks the connection: a frame may have
// been written in part, after which nothing on it can be read.
func (c *conn) write(f wire.Frame) error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	raw, err := wire.Append(c.buf[:0], f)
	if err != nil {
		return err
	}
	c.buf = raw
	if err := c.raw.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		c.raw.Close()
		return errors.Wrap(err, "set write deadline")
	}
	if _, err := c.raw.Write(raw); err != nil {
		c.raw.Close()
		return errors.Wrapf(err, "write frame kind=%s peer=%s", f.Kind, c.from.Address)
	}
	return nil
}

// call sends a frame and waits for the answer with its ID. An answer that
// comes after the caller gave up finds no waiter and is dropped, so it can
// never be taken for the answer to a later call.
func (c *conn) call(ctx context.Context, f wire.Frame) (wire.Frame, error) {
	wait := make(chan wire.Frame, 1)
	c.mu.Lock()
	if c.broken {
		c.mu.Unlock()
		return wire.Frame{}, errors.Wrapf(ErrBroken, "peer=%s", c.from.Address)
	}
	c.nextID++
	f.ID = c.nextID
	c.waiting[f.ID] = wait
	c.mu.Unlock()
	defer c.forget(f.ID)

	if err := c.write(f); err != nil {
		return wire.Frame{}, errors.Mark(err, ErrBroken)
	}
	select {
	case ans := <-wait:
		if ans.Err != "" {
			return ans, errors.Wrapf(ErrRefused, "kind=%s peer=%s: %s", f.Kind, c.from.Address, ans.Err)
		}
		return ans, nil
	case <-c.done:
		return wire.Frame{}, errors.Wrapf(ErrBroken, "kind=%s peer=%s", f.Kind, c.from.Address)
	case <-ctx.Done():
		return wire.Frame{}, errors.Wrapf(ctx.Err(), "kind=%s peer=%s", f.Kind, c.from.Address)
	}
}

func (c *conn) forget(id uint64) {
	c.mu.Lock()
	delete(c.waiting, id)
	c.mu.Unlock()
}

// run reads frames until the connection ends.
func (c *conn) run(serve func(wire.Identity, wire.Frame) (wire.Frame, bool)) {
	defer c.close()
	for {
		f, err := wire.Read(c.r)
		if err != nil {
			return
		}
		if f.IsResponse {
			c.deliver(f)
			continue
		}
		c.serving <- struct{}{}
		go func() {
			defer func() { <-c.serving }()
			if ans, ok := serve(c.from, f); ok {
				_ = c.write(ans)
			}
		}()
	}
}

func (c *conn) deliver(f wire.Frame) {
	c.mu.Lock()
	wait := c.waiting[f.ID]
	delete(c.waiting, f.ID)
	c.mu.Unlock()
	if wait != nil {
		wait <- f
	}
}

func (c *conn) close() {
	c.mu.Lock()
	already := c.broken
	c.broken = true
	c.mu.Unlock()
	if !already {
		close(c.done)
	}
	c.raw.Close()
}

func (c *conn) alive() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.broken
}
