package targetconn

import (
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// endless is a source of bytes without end.
type endless struct{}

func (endless) Read(b []byte) (int, error) { return len(b), nil }

// Guards against a target that stands still and is taken for one that has seen that a request was
// given up, and against cancelled exchanges that go on.
func TestAwaitCloseTellsWhetherTheTargetHasSeenTheEnd(t *testing.T) {
	const long, short = 20 * time.Second, 50 * time.Millisecond
	discard := func(c net.Conn) { _, _ = io.Copy(io.Discard, c) }
	for name, c := range map[string]struct {
		serve   func(net.Conn)
		timeout time.Duration
		seen    bool
	}{
		"closes":            {serve: discard, timeout: long, seen: true},
		"responds late":     {serve: func(c net.Conn) { discard(c); _, _ = io.WriteString(c, "late") }, timeout: long, seen: true},
		"sends without end": {serve: func(c net.Conn) { discard(c); _, _ = io.Copy(c, endless{}) }, timeout: long, seen: true},
		"stands still":      {serve: func(c net.Conn) { time.Sleep(long) }, timeout: short},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer l.Close()
			go func() {
				if conn, err := l.Accept(); err == nil {
					c.serve(conn)
					conn.Close()
				}
			}()
			conn, err := NewPool(DefaultOptions(), func() time.Duration { return 0 }).Dial(t.Context(), l.Addr().String())
			is.NoErr(err)
			conn.KeepReceiving(true)
			ended := make(chan error)
			go func() {
				_, err := conn.Send(t.Context(), &Request{Method: http.MethodGet, URI: "/", Host: "x"}, func(*http.Response) bool { return true })
				ended <- err
			}()
			conn.Cancel()
			is.True(<-ended != nil)
			is.Equal(conn.AwaitClose(c.timeout), c.seen)
			_, err = conn.NetConn().Write([]byte("x"))
			is.True(errors.Is(err, net.ErrClosed))
		})
	}
}

// Guards against a connection that is used again although its exchange was cancelled just after the
// response had arrived.
func TestCancelledConnectionIsNotReused(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		<-t.Context().Done() // it doesn't notice that the other side is closed
	}()
	pool := NewPool(DefaultOptions(), func() time.Duration { return 0 })
	conn, err := pool.Get(t.Context(), l.Addr().String(), time.Minute)
	is.NoErr(err)
	conn.KeepReceiving(true)
	_, err = conn.Send(t.Context(), &Request{Method: http.MethodGet, URI: "/", Host: "x"}, func(*http.Response) bool { return true })
	is.NoErr(err)
	conn.Cancel()
	pool.Put(conn)
	again, err := pool.Get(t.Context(), l.Addr().String(), time.Minute)
	is.NoErr(err)
	is.True(!again.Reused())
}
