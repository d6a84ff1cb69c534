// Package socketbuffer bounds what the kernel holds of a connection. Its buffers grow to several
// megabytes while a connection is busy, and what they hold counts towards the memory of an instance:
// thousands of callers that read nothing, or send without being read, would fill it.
package socketbuffer

import (
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/mastictray/mastictray/internal/logline"
)

// Bounds are those of a connection; 0 leaves one to the system.
type Bounds struct {
	// Receive is the size of the receive buffer in bytes.
	Receive int
	// Unsent is the number of bytes above which writes wait, beside those that the remote side has
	// not acknowledged.
	Unsent int
}

// Bounds of the connections that grow in number with callers.
var (
	// Callers are the bounds of callers' connections.
	Callers = Bounds{Receive: 8 << 10, Unsent: 16 << 10}
	// Targets are those of connections to targets, and of streams between peers that relay them. A
	// response that its caller doesn't take stays unread there.
	Targets = Bounds{Receive: 16 << 10, Unsent: 64 << 10}
)

// Control is a net.Dialer.Control or net.ListenConfig.Control. Accepted connections have the receive
// buffer of their listener, but not the bound of what is unsent.
func (b Bounds) Control(_, address string, c syscall.RawConn) error {
	b.limit(c, address)
	return nil
}

// Limit sets the bounds of a connection that is open. It has no effect on one that is no socket.
func (b Bounds) Limit(c net.Conn) {
	sys, ok := c.(syscall.Conn)
	if !ok {
		return
	}
	if raw, err := sys.SyscallConn(); err == nil { // else it is closed
		b.limit(raw, c.RemoteAddr())
	}
}

func (b Bounds) limit(c syscall.RawConn, address any) {
	set(c, address, unix.SOL_SOCKET, unix.SO_RCVBUF, b.Receive)
	b.LimitUnsent(c, address)
}

// LimitUnsent bounds what is unsent on a connection; address names it in the log.
func (b Bounds) LimitUnsent(c syscall.RawConn, address any) {
	set(c, address, unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, b.Unsent)
}

// set sets an option of a socket unless its value is 0. A socket for which that fails works without.
func set(c syscall.RawConn, address any, level, option, value int) {
	if value == 0 {
		return
	}
	var optErr error
	err := c.Control(func(fd uintptr) { optErr = unix.SetsockoptInt(int(fd), level, option, value) })
	if err = errors.CombineErrors(err, optErr); err != nil {
		logline.InfoSampled("socket_unbounded", "address", address, "option", option, "reason", err)
	}
}
