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
	// slowLinkBytes is the bytes that a slow link carries in a second.
	slowLinkBytesPerSecond = 500_000
	slowLinkChunkBytes     = 5_000
	// configPatience bounds the wait for a configuration that is sure to come.
	configWaitTimeout = 10 * time.Second
	// peerHost is a loopback address that outgoing connections do not use: one of these
	// could else take a port between its choice and the start of what listens there.
	peerHost = "127.77.0.1"
)

// slowLink listens for connections and passes them on to an address, at the rate
// of a slow link in the direction of the caller.
func startSlowLink(t *testing.T, to string) string {
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
			callee, err := net.Dial("tcp", to)
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

// passOn copies bytes with a pause after each part, until one side ends.
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

// announcedStore is a store in which instances find each other, and nothing else.
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

// withRoutes is a configuration of that many routes.
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

// startPeers runs the exchanges of a gateway that finds these peers.
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

// Guards against an instance that keeps an old configuration because the newer
// one takes longer on its link than one exchange may take.
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
