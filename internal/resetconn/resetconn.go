// Package resetconn makes the loss of a connection visible to its reader.
//
// The kernel reports the error of a connection to one call only. If a pending write takes it, the next
// read returns the end of the stream, as if the remote side had closed the connection in the regular
// way. A response whose body ends with its connection would look complete although it was cut short.
package resetconn

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// DialFunc establishes a connection, like net.Dialer.DialContext.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer returns a DialFunc that wraps the connections of dial; nil for those of a net.Dialer without
// options.
func Dialer(dial DialFunc) DialFunc {
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return Wrap(c), nil
	}
}

// socket is a TCP connection.
type socket interface {
	net.Conn
	syscall.Conn
	CloseWrite() error
	SetLinger(seconds int) error
}

// Conn is a TCP connection whose Read returns io.EOF only if the remote side has closed its sending
// direction. It has neither ReadFrom nor WriteTo, which would bypass Read and Write.
type Conn struct {
	net.Conn
	socket socket // the same connection

	// writes is held for reading by the writes in progress.
	writes sync.RWMutex
	// lost is the error with which the first write failed because the connection was lost.
	lost atomic.Pointer[error]
}

// Wrap returns a connection that reports its loss to its reader. It returns connections that do already,
// and those that are no sockets, as they are.
func Wrap(c net.Conn) net.Conn {
	if _, ok := c.(*Conn); ok {
		return c
	}
	s, ok := c.(socket)
	if !ok {
		return c
	}
	return &Conn{Conn: c, socket: s}
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	c.writes.RLock()
	defer c.writes.RUnlock()
	n, err := c.Conn.Write(b)
	if isLoss(err) {
		c.lost.CompareAndSwap(nil, &err)
	}
	return n, err
}

// isLoss reports whether a write has failed because the connection was lost. EPIPE tells only that
// nothing can be sent any more: the kernel returns it if the remote side had closed its sending direction
// before it reset the connection.
func isLoss(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && errno != syscall.EPIPE
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err == io.EOF {
		err = c.endOfStream()
	}
	return n, err
}

// endOfStream returns io.EOF, or the error with which a write has taken the loss of the connection.
func (c *Conn) endOfStream() error {
	if c.isDown() {
		// Writes in progress return at once. Otherwise they may last as long as the remote side reads
		// nothing.
		c.writes.Lock()
		defer c.writes.Unlock()
	}
	if lost := c.lost.Load(); lost != nil {
		return *lost
	}
	return io.EOF
}

// isDown reports whether nothing can be sent or received any more.
func (c *Conn) isDown() bool {
	raw, err := c.socket.SyscallConn()
	if err != nil {
		return true
	}
	down := false
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd)}} // POLLHUP and POLLERR are always reported
		_, pollErr := unix.Poll(fds, 0)
		down = pollErr == nil && fds[0].Revents&(unix.POLLHUP|unix.POLLERR) != 0
	})
	return err != nil || down
}

// CloseWrite closes the sending direction.
func (c *Conn) CloseWrite() error { return c.socket.CloseWrite() }

// SetLinger is that of net.TCPConn.
func (c *Conn) SetLinger(seconds int) error { return c.socket.SetLinger(seconds) }

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) { return c.socket.SyscallConn() }
