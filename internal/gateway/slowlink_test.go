package gateway

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/routing"
)

const (
	// slowLinkBytesPerSecond is the rate of a slow link.
	slowLinkBytesPerSecond = 500_000
	slowLinkChunkBytes     = 5_000
	// configWaitTimeout bounds the wait for a configuration that is certain to arrive.
	configWaitTimeout = 10 * time.Second
	// peerHost is a loopback address that outgoing connections don't use. One of these
	// could otherwise take the port between its selection and the start of the
	// listener.
	peerHost = "127.77.0.1"
)

// startSlowLink starts a proxy to an address that sends to the caller at the rate of a
// slow link.
func startSlowLink(t *testing.T, address string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			caller, err := l.Accept()
			if err != nil {
				return
			}
			callee, err := net.Dial("tcp", address)
			if err != nil {
				caller.Close()
				continue
			}
			go copyWithPauses(callee, caller, 0)
			go copyWithPauses(caller, callee, slowLinkChunkBytes*time.Second/slowLinkBytesPerSecond)
		}
	}()
	return l.Addr().String()
}

// copyWithPauses copies bytes with a pause after each chunk until one side closes.
func copyWithPauses(to, from net.Conn, pause time.Duration) {
	defer to.Close()
	defer from.Close()
	buf := make([]byte, slowLinkChunkBytes)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
		time.Sleep(pause * time.Duration(n) / slowLinkChunkBytes)
	}
}

// announcementStore is a store that only supports announcements.
type announcementStore struct {
	*memoryStore
	announced []Announced
}

func (*announcementStore) PeerSecret(context.Context, []byte) ([]byte, error) {
	return []byte("0123456789abcdef"), nil
}

func (*announcementStore) Announce(context.Context, Announcement) error { return nil }

func (s *announcementStore) Announcements(context.Context) ([]Announced, error) {
	return s.announced, nil
}

// configWithRoutes returns a configuration with n routes.
func configWithRoutes(version int64, n int) *routing.Config {
	c := &routing.Config{Version: version}
	for i := range n {
		c.Routes = append(c.Routes, routing.Route{
			Name: fmt.Sprintf("route-%05d-%x", i, i*i*2654435761), Host: fmt.Sprintf("host-%d.example", i%20), Prefix: fmt.Sprintf("/p%x/", i*i*40503),
			Kind: routing.Idempotent, Timeout: time.Second, LatencyObjective: 100 * time.Millisecond, MaxAttempts: 2,
			Split: []routing.WeightedService{{Service: "desk", Weight: 1}},
		})
	}
	return c
}

// startPeers starts the exchanges of a gateway that finds the given peers.
func startPeers(t *testing.T, name string, c *routing.Config, announced ...Announced) *Gateway {
	t.Helper()
	l, err := net.Listen("tcp", peerHost+":0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	l.Close()
	store := &announcementStore{memoryStore: &memoryStore{}, announced: announced}
	g := New(Settings{
		Instance: name, Domain: "d1", PeerListen: address, ConfigBound: 2 * time.Second, WeightsBound: 10 * time.Second, KeyCutoff: 4 * time.Second,
	}, stubDialect{}, store, unresponsiveTargets{})
	g.applyOperatorUpdate(g.clock.Now(), OperatorUpdate{Config: c})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		g.peers.run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		g.peers.close()
	})
	return g
}

// Guards against an instance that keeps an old configuration because the transfer of
// the newer one takes longer on its link than the timeout of one exchange.
func TestLargeConfigCrossesSlowLink(t *testing.T) {
	is := is.New(t)
	source := startPeers(t, "source", configWithRoutes(2, 3000))
	follower := startPeers(t, "follower", configWithRoutes(1, 10), Announced{Announcement: Announcement{
		Instance: "source", Incarnation: source.self.Incarnation, Address: startSlowLink(t, source.self.Address), Domain: "d1",
	}, Revision: 1})
	for end := time.Now().Add(configWaitTimeout); follower.configVersion() < 2 && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(follower.configVersion(), int64(2))
}
