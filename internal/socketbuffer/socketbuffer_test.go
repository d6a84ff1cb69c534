package socketbuffer

import (
	"net"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// Guards against connections whose buffers in the kernel grow without a bound.
func TestBoundsOfSockets(t *testing.T) {
	is := is.New(t)
	bounds := Bounds{Receive: 8 << 10, Unsent: 16 << 10}
	l, err := (&net.ListenConfig{Control: bounds.Control}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	dialed, err := (&net.Dialer{Control: bounds.Control}).Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer dialed.Close()
	accepted, err := l.Accept()
	is.NoErr(err)
	defer accepted.Close()
	bounds.Limit(accepted)
	for _, c := range []net.Conn{dialed, accepted} {
		raw, err := c.(*net.TCPConn).SyscallConn()
		is.NoErr(err)
		is.NoErr(raw.Control(func(fd uintptr) {
			receive, err := unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF)
			is.NoErr(err)
			is.True(receive >= bounds.Receive && receive <= 2*bounds.Receive) // Linux doubles it
			unsent, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT)
			is.NoErr(err)
			is.Equal(unsent, bounds.Unsent)
		}))
	}
}

// Guards against a panic for connections that are no sockets.
func TestOtherConnectionsHaveNoBounds(t *testing.T) {
	one, other := net.Pipe()
	defer one.Close()
	defer other.Close()
	Targets.Limit(one)
}
