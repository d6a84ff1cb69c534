package connrelay

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/clock"
	"github.com/mastictray/mastictray/internal/peer"
	"github.com/mastictray/mastictray/internal/targetconn"
	"github.com/mastictray/mastictray/internal/targetpath"
	"github.com/mastictray/mastictray/internal/wire"
)

const secret = "0123456789abcdef"

// instance is a peer node that relays connections, and a dialer.
type instance struct {
	node    *peer.Node
	server  *Server
	dialer  *Dialer
	address string
	// direct establishes direct connections; it may be replaced.
	direct atomic.Pointer[targetconn.DialFunc]
	peers  []targetpath.Peer
}

func dialTCP(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, network, address)
}

func refuse(context.Context, string, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED }

func hang(ctx context.Context, _, _ string) (net.Conn, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func newInstance(t testing.TB, name string, isTarget func(string) bool) *instance {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	inst := &instance{address: l.Addr().String()}
	inst.setDirect(dialTCP)
	direct := func(ctx context.Context, network, address string) (net.Conn, error) {
		return (*inst.direct.Load())(ctx, network, address)
	}
	inst.node = peer.NewNode(peer.Options{Self: wire.Identity{Instance: name, Address: inst.address}, Secret: []byte(secret)})
	inst.server = NewServer(direct, isTarget)
	inst.node.HandleStream(wire.KindRelay, inst.server.Handle)
	inst.node.Serve(l)
	t.Cleanup(inst.node.Close)
	inst.dialer = NewDialer(Options{
		Direct: direct, Domain: "d1", Now: clock.New().Now,
		Peers:      func() []targetpath.Peer { return append([]targetpath.Peer(nil), inst.peers...) },
		OpenStream: inst.node.OpenStream,
	})
	return inst
}

func (inst *instance) setDirect(dial targetconn.DialFunc) { inst.direct.Store(&dial) }

func (inst *instance) meet(peers ...*instance) {
	for _, p := range peers {
		inst.peers = append(inst.peers, targetpath.Peer{Name: p.node.Self().Instance, Address: p.address, Domain: "d1"})
	}
}

func anyTarget(string) bool { return true }

// newPair returns an instance and its peer.
func newPair(t testing.TB) (a, b *instance) {
	a, b = newInstance(t, "a", anyTarget), newInstance(t, "b", anyTarget)
	a.meet(b)
	return a, b
}

// startTarget accepts connections and hands them to serve.
func startTarget(t testing.TB, serve func(*net.TCPConn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c.(*net.TCPConn))
		}
	}()
	return l.Addr().String()
}

func echo(c *net.TCPConn) {
	_, _ = io.Copy(c, c)
	c.Close()
}

func TestDialPrefersTheOpenPath(t *testing.T) {
	for name, c := range map[string]struct {
		direct  targetconn.DialFunc
		relayed bool
	}{
		"direct":  {dialTCP, false},
		"refused": {refuse, true},
		"silent":  {hang, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a, _ := newPair(t)
			a.setDirect(c.direct)
			address := startTarget(t, echo)
			for range 2 {
				conn, err := a.dialer.Dial(t.Context(), "tcp", address)
				is.NoErr(err)
				is.Equal(RelayOf(conn) == "b", c.relayed)
				is.Equal(a.dialer.Blocked(address), c.relayed)
				_, err = conn.Write([]byte("hello"))
				is.NoErr(err)
				got := make([]byte, 5)
				_, err = io.ReadFull(conn, got)
				is.NoErr(err)
				is.Equal(string(got), "hello")
				conn.Close()
			}
			a.setDirect(dialTCP)
			for a.dialer.Blocked(address) {
				a.dialer.Probe(t.Context(), anyTarget, func(string) {})
				time.Sleep(time.Millisecond)
			}
			is.Equal(a.dialer.Check(t.Context(), address), Open)
		})
	}
}

// Guards against taking a target for reachable that neither this instance nor a peer reaches.
func TestTargetThatIsDownIsNotTakenForBlocked(t *testing.T) {
	is := is.New(t)
	a, b := newPair(t)
	a.setDirect(refuse)
	b.setDirect(refuse)
	_, err := a.dialer.Dial(t.Context(), "tcp", "127.0.0.1:1")
	is.True(errors.Is(err, syscall.ECONNREFUSED))
	is.True(!a.dialer.Blocked("127.0.0.1:1"))
}

// Guards against giving up because the peers that are asked first are partitioned as well.
func TestPartitionedPeersArePassedOver(t *testing.T) {
	for name, dial := range map[string]targetconn.DialFunc{"refused": refuse, "silent": hang} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a, b, c := newInstance(t, "a", anyTarget), newInstance(t, "b", anyTarget), newInstance(t, "c", anyTarget)
			a.meet(b, c)
			a.peers[1].Domain = "d2" // asked last
			a.setDirect(dial)
			b.setDirect(dial)
			conn, err := a.dialer.Dial(t.Context(), "tcp", startTarget(t, echo))
			is.NoErr(err)
			is.Equal(RelayOf(conn), "c")
			conn.Close()
		})
	}
}

// Guards against relaying to addresses that are no targets, and by an instance that drains.
func TestPeerDeniesRelays(t *testing.T) {
	is := is.New(t)
	address := startTarget(t, echo)
	a, b := newInstance(t, "a", anyTarget), newInstance(t, "b", func(asked string) bool { return asked == address })
	a.meet(b)
	a.setDirect(refuse)
	_, err := a.dialer.dialRelayed(t.Context(), startTarget(t, echo))
	is.True(errors.Is(err, ErrNoPeer))
	conn, err := a.dialer.dialRelayed(t.Context(), address)
	is.NoErr(err)
	drained := make(chan struct{})
	go func() {
		b.server.Drain(t.Context())
		close(drained)
	}()
	for {
		late, err := a.dialer.dialRelayed(t.Context(), address)
		if errors.Is(err, ErrNoPeer) {
			break
		}
		is.NoErr(err)
		late.Close()
	}
	select {
	case <-drained:
		t.Fatal("drained while a connection was open")
	default:
	}
	conn.Close()
	<-drained
	is.Equal(b.server.Active(), 0)
}

// Guards against a response without a length that looks complete although it was cut off: only
// the target's own end of the connection may count as the end.
func TestOnlyARegularEndOfTheTargetIsAnEnd(t *testing.T) {
	is := is.New(t)
	a, b := newPair(t)
	a.setDirect(refuse)
	read := func(serve func(*net.TCPConn)) (string, error) {
		conn, err := a.dialer.Dial(t.Context(), "tcp", startTarget(t, func(c *net.TCPConn) {
			_, _ = c.Read(make([]byte, 1)) // until the connection is in use
			serve(c)
		}))
		is.NoErr(err)
		defer conn.Close()
		_, err = conn.Write([]byte("x"))
		is.NoErr(err)
		got, err := io.ReadAll(conn)
		return string(got), err
	}
	got, err := read(func(c *net.TCPConn) {
		_, _ = io.WriteString(c, "whole")
		c.Close()
	})
	is.NoErr(err)
	is.Equal(got, "whole")
	_, err = read(func(c *net.TCPConn) {
		_, _ = io.WriteString(c, "cut")
		_ = c.SetLinger(0)
		c.Close()
	})
	is.True(errors.Is(err, syscall.ECONNRESET))
	conn, err := a.dialer.Dial(t.Context(), "tcp", startTarget(t, func(c *net.TCPConn) { _, _ = io.WriteString(c, "cut") }))
	is.NoErr(err)
	defer conn.Close()
	_, err = io.ReadFull(conn, make([]byte, len("cut")))
	is.NoErr(err)
	b.node.Close()
	_, err = conn.Read(make([]byte, 1))
	is.True(errors.Is(err, peer.ErrBroken))
}

// Guards against targets that go on working for a caller who has left.
func TestTargetSeesThatTheInstanceHasClosedTheConnection(t *testing.T) {
	is := is.New(t)
	a, _ := newPair(t)
	a.setDirect(refuse)
	seen := make(chan error, 1)
	address := startTarget(t, func(c *net.TCPConn) {
		_, err := io.ReadAll(c)
		seen <- err
	})
	conn, err := a.dialer.Dial(t.Context(), "tcp", address)
	is.NoErr(err)
	conn.Close()
	is.True(errors.Is(<-seen, syscall.ECONNRESET))
}
