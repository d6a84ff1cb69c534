package httpdrain

import (
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/mastictray/mastictray/internal/socketbuffer"
)

// conn is a connection of a caller that can be ended between two requests.
type conn struct {
	*net.TCPConn
	raw     syscall.RawConn
	onClose func(*conn)
	// guard bounds what the connection uses; nil if nothing does.
	guard Guard
	// sendTimeout is the time after which a caller that takes nothing is given up; 0 for never.
	sendTimeout time.Duration

	// state and since are the state that the HTTP server has reported and the time of that
	// report. They are guarded by Server.mu.
	state http.ConnState
	since time.Time

	mu sync.Mutex
	// receivedAt is the time at which the first bytes since the connection was last idle
	// arrived; zero if none have.
	receivedAt time.Time
	// ending is set if the connection is to be closed unless a request arrives first.
	ending bool
	// readDeadline is the deadline that the HTTP server has set. interrupted is set while
	// end has replaced it to wake a blocked read.
	readDeadline time.Time
	interrupted  bool
}

// interruptDeadline is a deadline in the past, which wakes a blocked read.
var interruptDeadline = time.Unix(1, 0)

// newConn wraps an accepted connection.
func newConn(c *net.TCPConn, onClose func(*conn)) (*conn, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return nil, errors.Wrap(err, "access accepted connection")
	}
	socketbuffer.Callers.LimitUnsent(raw, c.RemoteAddr())
	return &conn{TCPConn: c, raw: raw, onClose: onClose, state: http.StateNew, since: time.Now()}, nil
}

// end closes the connection unless a request arrives first. The closing itself is left to
// the HTTP server, whose read fails. A connection on which the head of a request has been
// arriving for longer than stallTimeout is closed at once.
func (c *conn) end(stallTimeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.receivedAt.IsZero() {
		if time.Since(c.receivedAt) > stallTimeout {
			_ = c.TCPConn.SetReadDeadline(interruptDeadline)
		}
		return
	}
	if c.ending {
		return
	}
	c.ending, c.interrupted = true, true
	// On error the connection is closed already.
	_ = c.TCPConn.SetReadDeadline(interruptDeadline)
}

// setIdle records that the next bytes to arrive belong to a new request.
func (c *conn) setIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receivedAt, c.ending = time.Time{}, false
}

// Read implements net.Conn. Between two requests it returns what has arrived also when the
// connection is being ended or its deadline has passed, and a timeout error only if nothing has.
// A process that reads late would otherwise drop a request that came in time.
func (c *conn) Read(b []byte) (int, error) {
	for {
		if c.isEnding() {
			return c.readArrived(b)
		}
		n, err := c.TCPConn.Read(b)
		if n > 0 {
			c.setReceived()
			if guardErr := c.received(b[:n]); guardErr != nil {
				return 0, guardErr
			}
		}
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if c.resume() {
			continue
		}
		if c.hasReceived() {
			return n, err
		}
		return c.readArrived(b)
	}
}

func (c *conn) isEnding() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ending && c.receivedAt.IsZero()
}

func (c *conn) hasReceived() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.receivedAt.IsZero()
}

func (c *conn) setReceived() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.receivedAt.IsZero() {
		c.receivedAt = time.Now()
	}
}

// resume reports whether a read failed only because end interrupted it. If so, it restores
// the deadline, since the read may go on: a part of a request may have been read in between.
func (c *conn) resume() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.interrupted {
		return false
	}
	c.interrupted = false
	return c.TCPConn.SetReadDeadline(c.readDeadline) == nil
}

// readArrived reads without waiting and regardless of the deadline.
func (c *conn) readArrived(b []byte) (n int, err error) {
	var readErr error
	if err := c.raw.Control(func(fd uintptr) { n, readErr = unix.Read(int(fd), b) }); err != nil {
		return 0, errors.Wrap(err, "read what has arrived")
	}
	switch {
	case n > 0:
		c.setReceived()
		return n, c.received(b[:n])
	case readErr == nil:
		return 0, io.EOF
	case readErr == unix.EAGAIN:
		return 0, os.ErrDeadlineExceeded
	}
	return 0, errors.Wrap(readErr, "read what has arrived")
}

func (c *conn) received(b []byte) error {
	if c.guard == nil {
		return nil
	}
	return c.guard.Received(b)
}

// maxWrite is the size of the part of a write that the caller must take within the send timeout, and
// for which the guard learns that it has been taken.
const maxWrite = 16 << 10

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	if c.guard != nil {
		defer c.guard.Sending(false)
	}
	written := 0
	for {
		if c.guard != nil {
			c.guard.Sending(true)
		}
		if c.sendTimeout > 0 {
			if err := c.TCPConn.SetWriteDeadline(time.Now().Add(c.sendTimeout)); err != nil {
				return written, err
			}
		}
		n, err := c.TCPConn.Write(b[written:min(len(b), written+maxWrite)])
		written += n
		if err != nil || written == len(b) {
			return written, err
		}
	}
}

// ReadFrom implements io.ReaderFrom, as net/http uses that of net.TCPConn otherwise, which knows no
// guard and no send timeout.
func (c *conn) ReadFrom(r io.Reader) (int64, error) { return io.Copy(struct{ io.Writer }{c}, r) }

// Abort closes the connection at once. The HTTP server, whose read fails, closes it once more when
// its goroutine ends.
func (c *conn) Abort() { reset(c.TCPConn) }

// InterruptRead makes the read of a request that is arriving fail.
func (c *conn) InterruptRead() { _ = c.SetReadDeadline(interruptDeadline) }

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline, c.interrupted = t, false
	return c.TCPConn.SetReadDeadline(t)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.onClose(c)
	if c.guard != nil {
		c.guard.Closed()
	}
	return c.TCPConn.Close()
}
