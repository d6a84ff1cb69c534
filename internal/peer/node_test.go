package peer

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/wire"
)

const kindEcho wire.Kind = "test.echo"

func startNode(t *testing.T, name, secret string) (*Node, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n := NewNode(Options{Self: wire.Identity{Instance: name, Address: l.Addr().String()}, Secret: []byte(secret), Idempotent: []wire.Kind{kindEcho}})
	n.Handle(kindEcho, func(_ context.Context, from wire.Identity, f wire.Frame) (any, error) {
		var s string
		if err := f.DecodeBody(&s); err != nil {
			return nil, err
		}
		if s == "refuse" {
			return nil, errors.New("refused by the handler")
		}
		return from.Instance + ":" + s, nil
	})
	n.Serve(l)
	t.Cleanup(n.Close)
	return n, l.Addr().String()
}

func TestCallReturnsResponseOrRefusal(t *testing.T) {
	is := is.New(t)
	a, _ := startNode(t, "a", "0123456789abcdef")
	_, addr := startNode(t, "b", "0123456789abcdef")
	var got string
	from, err := a.Call(context.Background(), addr, kindEcho, "hi", &got)
	is.NoErr(err)
	is.Equal(got, "a:hi")
	is.Equal(from.Instance, "b")
	_, err = a.Call(context.Background(), addr, kindEcho, "refuse", &got)
	is.True(errors.Is(err, ErrRefused))
}

// A process without the shared secret dials the peer port. If its calls were
// served, it could grant rate tokens or store claim results.
func TestPeerWithoutSecretIsRejected(t *testing.T) {
	is := is.New(t)
	untrusted, _ := startNode(t, "x", "another secret..")
	_, addr := startNode(t, "b", "0123456789abcdef")
	_, err := untrusted.Call(context.Background(), addr, kindEcho, "hi", nil)
	is.True(err != nil)
}

// A peer restarts at the same address. Calls may fail on the broken connection, but
// then reach the new process.
func TestReconnectsAfterPeerRestart(t *testing.T) {
	is := is.New(t)
	a, _ := startNode(t, "a", "0123456789abcdef")
	b, addr := startNode(t, "b", "0123456789abcdef")
	_, err := a.Call(context.Background(), addr, kindEcho, "hi", nil)
	is.NoErr(err)
	b.Close()
	l, err := net.Listen("tcp", addr)
	is.NoErr(err)
	restarted := NewNode(Options{Self: wire.Identity{Instance: "b2"}, Secret: []byte("0123456789abcdef")})
	restarted.Handle(kindEcho, func(context.Context, wire.Identity, wire.Frame) (any, error) { return "new", nil })
	restarted.Serve(l)
	defer restarted.Close()
	var got string
	for range 10 {
		if _, err = a.Call(context.Background(), addr, kindEcho, "hi", &got); err == nil {
			break
		}
	}
	is.NoErr(err)
	is.Equal(got, "new")
}

// flakyListener fails to accept a few times, as a process does that is out of descriptors.
type flakyListener struct {
	net.Listener
	failures atomic.Int32
}

func (l *flakyListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// Guards against a node that accepts no peer any more once it was out of descriptors.
func TestNodeAcceptsPeersAfterFailures(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	flaky := &flakyListener{Listener: l}
	flaky.failures.Store(3)
	n := NewNode(Options{Self: wire.Identity{Instance: "b", Address: l.Addr().String()}, Secret: []byte("0123456789abcdef")})
	n.Handle(kindEcho, func(context.Context, wire.Identity, wire.Frame) (any, error) { return "ok", nil })
	n.Serve(flaky)
	t.Cleanup(n.Close)
	a, _ := startNode(t, "a", "0123456789abcdef")
	var got string
	_, err = a.Call(context.Background(), l.Addr().String(), kindEcho, "hi", &got)
	is.NoErr(err)
	is.Equal(got, "ok")
}

// Guards against connections without a proof that take all descriptors, and against memory for a
// frame that such a one announces: the oldest is closed, a large frame is refused, and peers connect.
func TestUnauthenticatedConnectionsAreBounded(t *testing.T) {
	is := is.New(t)
	b, addr := startNode(t, "b", "0123456789abcdef")
	var conns []net.Conn
	for range maxUnauthenticated + 8 {
		c, err := net.Dial("tcp", addr)
		is.NoErr(err)
		defer c.Close()
		conns = append(conns, c)
	}
	_, err := io.Copy(io.Discard, conns[0])
	is.NoErr(err)
	b.unauthenticated.mu.Lock()
	is.True(b.unauthenticated.conns.Len() <= maxUnauthenticated)
	b.unauthenticated.mu.Unlock()
	large := conns[len(conns)-1]
	_, err = large.Write(binary.BigEndian.AppendUint32(nil, maxHandshakeBytes+1))
	is.NoErr(err)
	_, _ = io.Copy(io.Discard, large) // closed, possibly with a reset
	a, _ := startNode(t, "a", "0123456789abcdef")
	var got string
	_, err = a.Call(context.Background(), addr, kindEcho, "hi", &got)
	is.NoErr(err)
}
