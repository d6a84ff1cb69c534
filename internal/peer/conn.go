package peer

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/silentconn"
	"github.com/mastictray/mastictray/internal/wire"
)

// writeTimeout bounds one write. A suspended peer, which does not read, would
// otherwise block every sender that shares the connection.
const writeTimeout = 2 * time.Second

// maxConcurrentCalls bounds the frames of one connection that are handled at a time.
// Beyond that the connection is not read, so a misbehaving peer cannot cause an
// unbounded number of goroutines.
const maxConcurrentCalls = 256

// Errors of a call.
var (
	// ErrBroken: the connection ended before the response arrived; the peer may
	// have executed the call.
	ErrBroken = errors.New("peer: connection broken")
	// ErrSilent: the connection carried nothing any more and was replaced; the peer may have
	// executed the call.
	ErrSilent = errors.New("peer: connection replaced after silence")
	// ErrRefused: the peer responded with an error.
	ErrRefused = errors.New("peer: refused")
)

// conn is an authenticated connection, used for calls in both directions.
type conn struct {
	raw    net.Conn
	r      *bufio.Reader
	source *timedReader // under r
	remote wire.Identity

	writeMu sync.Mutex
	buf     []byte

	mu      sync.Mutex
	nextID  uint64
	pending map[uint64]chan wire.Frame
	broken  bool
	latency silentconn.Latency

	// replacing is set while a new connection is dialled to replace this one, replaced once
	// it was.
	replacing, replaced atomic.Bool

	serveSlots chan struct{}
	done       chan struct{}
}

func newConn(raw net.Conn, r *bufio.Reader, source *timedReader, from wire.Identity) *conn {
	return &conn{
		raw:        raw,
		r:          r,
		source:     source,
		remote:     from,
		pending:    make(map[uint64]chan wire.Frame),
		serveSlots: make(chan struct{}, maxConcurrentCalls),
		done:       make(chan struct{}),
	}
}

// write sends one frame. A failed write closes the connection: the frame may have
// been written in part, after which the peer cannot find the next frame.
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
		return errors.Wrapf(err, "write frame kind=%s peer=%s", f.Kind, c.remote.Address)
	}
	return nil
}

// call sends a frame and waits for the response with its ID. IDs are not reused: a
// response that arrives after the caller gave up is dropped and cannot be taken
// for that to a later call. onSilent is called if the connection seems silent.
func (c *conn) call(ctx context.Context, f wire.Frame, onSilent func()) (wire.Frame, error) {
	wait := make(chan wire.Frame, 1)
	c.mu.Lock()
	if c.broken {
		c.mu.Unlock()
		return wire.Frame{}, errors.Wrapf(c.endError(), "peer=%s", c.remote.Address)
	}
	c.nextID++
	f.ID = c.nextID
	c.pending[f.ID] = wait
	timeout := c.latency.Timeout()
	c.mu.Unlock()
	defer c.removePending(f.ID)

	sentAt := time.Now()
	silence := time.NewTimer(timeout)
	defer silence.Stop()

	if err := c.write(f); err != nil {
		return wire.Frame{}, errors.Mark(err, ErrBroken)
	}
	for {
		select {
		case resp := <-wait:
			c.observeLatency(time.Since(sentAt))
			if resp.Err != "" {
				return resp, errors.Wrapf(ErrRefused, "kind=%s peer=%s: %s", f.Kind, c.remote.Address, resp.Err)
			}
			return resp, nil
		case <-silence.C:
			silent, recheckAfter := silentconn.Check(time.Now(), sentAt, c.source.lastRead(), timeout)
			if silent {
				onSilent()
			} else {
				silence.Reset(recheckAfter)
			}
		case <-c.done:
			return wire.Frame{}, errors.Wrapf(c.endError(), "kind=%s peer=%s", f.Kind, c.remote.Address)
		case <-ctx.Done():
			return wire.Frame{}, errors.Wrapf(ctx.Err(), "kind=%s peer=%s", f.Kind, c.remote.Address)
		}
	}
}

// endError returns the reason for which the connection has ended.
func (c *conn) endError() error {
	if c.replaced.Load() {
		return errors.Mark(ErrSilent, ErrBroken)
	}
	return ErrBroken
}

// recentLatency returns the latency of the connection's calls.
func (c *conn) recentLatency() silentconn.Latency {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.latency
}

func (c *conn) observeLatency(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.latency.Observe(d)
}

func (c *conn) removePending(id uint64) {
	c.mu.Lock()
	delete(c.pending, id)
	c.mu.Unlock()
}

// run handles first, if it is not nil, and then reads frames until the connection ends.
// serve returns the response and whether one is to be sent.
func (c *conn) run(first *wire.Frame, serve func(wire.Identity, wire.Frame) (wire.Frame, bool)) {
	defer c.close()
	if first != nil {
		c.handle(*first, serve)
	}
	for {
		f, err := wire.Read(c.r)
		if err != nil {
			return
		}
		c.handle(f, serve)
	}
}

// handle delivers a response, or has a call served in the background.
func (c *conn) handle(f wire.Frame, serve func(wire.Identity, wire.Frame) (wire.Frame, bool)) {
	if f.IsResponse {
		c.deliverResponse(f)
		return
	}
	c.serveSlots <- struct{}{}
	go func() {
		defer func() { <-c.serveSlots }()
		if resp, ok := serve(c.remote, f); ok {
			_ = c.write(resp)
		}
	}()
}

func (c *conn) deliverResponse(f wire.Frame) {
	c.mu.Lock()
	wait := c.pending[f.ID]
	delete(c.pending, f.ID)
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

func (c *conn) isOpen() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.broken
}
