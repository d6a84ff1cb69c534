package httpdrain

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// listener tracks the connections that it accepts. A connection counts from the moment at
// which it is accepted, before the HTTP server reports it.
type listener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := accepted.(*net.TCPConn)
		if !ok {
			return accepted, nil
		}
		if l.server.Admit != nil && !l.server.Admit() {
			reset(tcp)
			continue
		}
		c, err := newConn(tcp, l.server.remove)
		if err != nil {
			_ = tcp.Close() // the caller has disconnected
			continue
		}
		if !l.server.guard(c) {
			reset(tcp)
			continue
		}
		l.server.add(c)
		if l.server.WrapConn != nil {
			return l.server.WrapConn(c), nil
		}
		return c, nil
	}
}

// reset closes a connection with a reset, so that its caller connects again at once. What the caller
// has sent is discarded.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0) // the caller may have disconnected
	_ = c.Close()
}

// hasPending reports whether a connection waits to be accepted.
func (l *listener) hasPending() bool {
	sys, ok := l.Listener.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	ready := 0
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		ready, err = unix.Poll(fds, 0)
	})
	return err == nil && ready > 0
}
