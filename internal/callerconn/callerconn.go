// Package callerconn wraps the connections of callers so that a slow caller does not hold up the
// response that it is sent.
//
// A write goes straight to the socket. What the socket doesn't take is kept in a
// sendbuffer.Buffer and sent by a goroutine, which exists only as long as something is kept.
// Writes wait only while the buffer is full. A caller that takes nothing for the stall timeout is
// given up: its connection is closed.
package callerconn

import (
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/mastictray/mastictray/internal/sendbuffer"
)

// closeDelay is the time between the end of a response that was kept and the closing of its
// connection. A connection that is closed while the caller sends is reset, and the caller could
// lose the end of the response.
const closeDelay = 500 * time.Millisecond

// ErrStalled is the error of writes to a caller that was given up.
var ErrStalled = errors.New("caller takes no data")

// Stats counts the slow callers of an instance. All fields are current numbers except GivenUp.
type Stats struct {
	// Slow is the number of connections with data that their callers have not taken, Bytes
	// the size of that data, and Paused the number of writes that wait for room.
	Slow, Bytes, Paused atomic.Int64
	// GivenUp is the number of callers given up so far.
	GivenUp atomic.Int64
}

// Options are shared by the connections of one server.
type Options struct {
	Now func() time.Duration
	// Budget bounds what all connections keep; nil for no bound.
	Budget sendbuffer.Budget
	// StallTimeout replaces sendbuffer.DefaultStallTimeout unless it is 0.
	StallTimeout time.Duration
	Stats        *Stats
	// OnGiveUp is called with the bytes kept for a caller that is given up.
	OnGiveUp func(remote net.Addr, bytes int)
}

// closeWriter is a connection of which one direction can be closed.
type closeWriter interface{ CloseWrite() error }

// Conn is the connection of a caller.
type Conn struct {
	net.Conn
	options *Options
	raw     syscall.RawConn

	mu   sync.Mutex
	room sync.Cond
	kept sendbuffer.Buffer
	// sending is set while a goroutine sends what is kept.
	sending bool
	err     error
	// closeWrite and closed are set if the connection is to be closed once everything is sent.
	closeWrite, closed bool
	onPause            func(paused bool)
}

// New wraps a connection. It returns it as it is if it gives no access to its socket.
func New(c net.Conn, o *Options) net.Conn {
	s, ok := c.(syscall.Conn)
	if !ok {
		return c
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return c
	}
	wrapped := &Conn{Conn: c, options: o, raw: raw}
	wrapped.room.L = &wrapped.mu
	wrapped.kept.Budget, wrapped.kept.StallTimeout = o.Budget, o.StallTimeout
	return wrapped
}

type contextKey struct{}

// WithConn is an http.Server.ConnContext that makes the connection available to OnPause.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, c)
}

// OnPause sets the function that is called when a write of the response to the request with this
// context begins and ends to wait for the caller; nil for none. It is called by the goroutine
// that writes.
func OnPause(ctx context.Context, f func(paused bool)) {
	if c, ok := ctx.Value(contextKey{}).(*Conn); ok {
		c.mu.Lock()
		c.onPause = f
		c.mu.Unlock()
	}
}

// NetConn returns the wrapped connection.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Write implements net.Conn. Data that it has taken may still be kept when it returns.
func (c *Conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	written := 0
	if c.err == nil && !c.sending {
		written, c.err = c.writeNow(b)
	}
	for c.err == nil && written < len(b) {
		n := c.kept.Add(c.options.Now(), b[written:])
		written += n
		c.options.Stats.Bytes.Add(int64(n))
		if !c.sending {
			c.sending = true
			c.options.Stats.Slow.Add(1)
			go c.send()
		}
		if written < len(b) {
			c.waitForRoom()
		}
	}
	return written, c.err
}

// writeNow writes what the socket takes without waiting.
func (c *Conn) writeNow(b []byte) (n int, err error) {
	rawErr := c.raw.Write(func(fd uintptr) bool {
		n, err = unix.Write(int(fd), b)
		return true
	})
	switch {
	case rawErr != nil:
		return 0, rawErr
	case err == unix.EAGAIN || err == unix.EINTR:
		return 0, nil
	case err != nil:
		return 0, os.NewSyscallError("write", err)
	}
	return n, nil
}

// waitForRoom waits until data was taken. The caller holds c.mu.
func (c *Conn) waitForRoom() {
	onPause := c.onPause
	if onPause != nil {
		onPause(true)
	}
	c.options.Stats.Paused.Add(1)
	c.room.Wait()
	c.options.Stats.Paused.Add(-1)
	if onPause != nil {
		onPause(false)
	}
}

// send sends what is kept until there is nothing left or the caller is given up.
func (c *Conn) send() {
	c.mu.Lock()
	for c.err == nil && c.kept.Len() > 0 {
		next := c.kept.Next()
		c.mu.Unlock()
		n, err := c.writeFor(c.kept.Timeout(), next)
		c.mu.Lock()
		c.taken(n)
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			c.err = err
		} else if c.kept.Stalled(c.options.Now()) && !c.takesMore() {
			c.giveUp()
		}
	}
	c.endSending()
	closeWrite, closed, failed := c.closeWrite, c.closed, c.err != nil
	c.mu.Unlock()
	switch {
	case failed:
		_ = c.Conn.Close() // the HTTP server learns of it by its read
	case closed:
		c.shutWrite()
		time.Sleep(closeDelay)
		_ = c.Conn.Close()
	case closeWrite:
		c.shutWrite()
	}
}

// taken records that the caller has taken the first n bytes that are kept. The caller of taken
// holds c.mu.
func (c *Conn) taken(n int) {
	c.kept.Taken(c.options.Now(), n)
	c.options.Stats.Bytes.Add(int64(-n))
	c.room.Broadcast()
}

// takesMore reports whether the socket takes data now. The time in which it took none may be that
// in which this process was suspended. The caller holds c.mu.
func (c *Conn) takesMore() bool {
	if c.SetWriteDeadline(time.Time{}) != nil {
		return false
	}
	n, err := c.writeNow(c.kept.Next())
	c.taken(n)
	return err == nil && n > 0
}

// writeFor writes for at most the given time and returns how much was taken.
func (c *Conn) writeFor(timeout time.Duration, b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// giveUp ends the connection of a caller that takes nothing. The caller holds c.mu.
func (c *Conn) giveUp() {
	c.err = ErrStalled
	c.options.Stats.GivenUp.Add(1)
	if c.options.OnGiveUp != nil {
		c.options.OnGiveUp(c.RemoteAddr(), c.kept.Len())
	}
}

// endSending frees what is kept and lets writes go to the socket again. The caller holds c.mu.
func (c *Conn) endSending() {
	c.options.Stats.Bytes.Add(int64(-c.kept.Len()))
	c.options.Stats.Slow.Add(-1)
	c.kept.Discard()
	c.sending = false
	if c.err == nil {
		c.err = c.SetWriteDeadline(time.Time{})
	}
	c.room.Broadcast()
}

func (c *Conn) shutWrite() {
	if w, ok := c.Conn.(closeWriter); ok {
		_ = w.CloseWrite() // an error means that the caller has left
	}
}

// CloseWrite closes the sending direction once everything that is kept is sent.
func (c *Conn) CloseWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sending {
		c.closeWrite = true
		return nil
	}
	c.shutWrite()
	return nil
}

// Close implements net.Conn. What is kept is sent first.
func (c *Conn) Close() error {
	c.mu.Lock()
	if c.sending && c.err == nil {
		c.closed = true
		c.mu.Unlock()
		return nil
	}
	c.mu.Unlock()
	return c.Conn.Close()
}
