// Package quietconn checks idle connections without reading from them.
package quietconn

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// IsQuiet reports whether a connection is open and has nothing to read. It can't tell for
// connections that are no sockets, such as those with TLS, and returns true for them.
func IsQuiet(c net.Conn) bool {
	sys, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}
