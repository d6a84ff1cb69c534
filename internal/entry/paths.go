package entry

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/connrelay"
	"github.com/mastictray/mastictray/internal/targetpath"
	"github.com/mastictray/mastictray/internal/wire"
)

const (
	// pathProbeInterval is the interval at which blocked direct paths are looked at.
	pathProbeInterval = 250 * time.Millisecond
	// relayDrainTime is how long after a path has opened idle connections are closed at each
	// look, as relayed ones that were in use become idle.
	relayDrainTime = 5 * time.Second
	// silentResponseTimeout is the time without a response after which the path to the target of
	// an idempotent request is checked.
	silentResponseTimeout = time.Second
)

// errPathBlocked ends an attempt whose direct connection is lost.
var errPathBlocked = errors.New("the direct path to the target is blocked")

// buildTargetPaths creates what connects to targets, also for peers.
func (e *Entry) buildTargetPaths() {
	direct := func(ctx context.Context, network, address string) (net.Conn, error) {
		return e.dialDirect(ctx, network, address)
	}
	e.dialer = connrelay.NewDialer(connrelay.Options{
		Direct: direct, Domain: e.settings.Domain, Now: e.clock.now, Peers: e.members.relayPeers, OpenStream: e.node.OpenStream,
		OnBlocked: e.handleBlockedPath,
		OnOpen:    e.handleOpenPath,
	})
	e.relays = connrelay.NewServer(direct, func(address string) bool { return e.pools.announcements.isTarget(address) })
	e.node.HandleStream(wire.KindRelay, e.relays.Handle)
}

// dialTarget establishes a connection to a target.
func (e *Entry) dialTarget(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, targetDialTimeout)
	defer cancel()
	return e.dialer.Dial(ctx, network, address)
}

// relayedPolls holds the relayed connections of the clients that poll targets, by address.
type relayedPolls struct {
	mu    sync.Mutex
	conns map[string][]net.Conn
}

// dialPoll is dialTarget for the clients that poll targets.
func (e *Entry) dialPoll(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := e.dialTarget(ctx, network, address)
	if err == nil && connrelay.RelayOf(conn) != "" {
		e.polls.mu.Lock()
		e.polls.conns[address] = append(e.polls.conns[address], conn)
		e.polls.mu.Unlock()
	}
	return conn, err
}

// closeAll closes the connections to an address. Polls in progress fail and are repeated.
func (r *relayedPolls) closeAll(address string) {
	r.mu.Lock()
	conns := r.conns[address]
	delete(r.conns, address)
	r.mu.Unlock()
	for _, conn := range conns {
		conn.Close()
	}
}

// handleOpenPath is called when a direct path that was blocked is open again. Relayed connections
// are not used for longer than necessary; those of polls would never become idle.
func (e *Entry) handleOpenPath(address string) {
	e.pathOpenedAt.Store(int64(e.clock.now()))
	e.polls.closeAll(address)
	e.closeIdleTargetConnections()
}

// handleBlockedPath is called when the direct path to a target turns out to be blocked. If direct
// attempts get no response, open connections are probably dead.
func (e *Entry) handleBlockedPath(address string, silent bool) {
	if silent {
		e.closeIdleTargetConnections()
		e.pools.cancelResponses(address)
	}
}

func (e *Entry) closeIdleTargetConnections() {
	for _, c := range []*http.Client{e.server.targetClient.pooled, e.pools.poller.loadClient, e.pools.poller.eventsClient} {
		c.CloseIdleConnections()
	}
}

// probePaths probes the blocked direct paths until ctx ends.
func (e *Entry) probePaths(ctx context.Context) {
	for ctx.Err() == nil {
		e.dialer.Probe(ctx, e.pools.announcements.isTarget, func(string) {})
		if at := time.Duration(e.pathOpenedAt.Load()); at > 0 && e.clock.now()-at < relayDrainTime {
			e.closeIdleTargetConnections()
		}
		sleep(ctx, pathProbeInterval)
	}
}

// relayPeers returns the instances that may relay connections for this one.
func (m *members) relayPeers() []targetpath.Peer {
	var out []targetpath.Peer
	for _, p := range m.livePeers() {
		out = append(out, targetpath.Peer{Name: p.Instance, Address: p.Address, Domain: p.Domain})
	}
	return out
}

// pathFailed reports whether an exchange with a target failed because of the path to it, which
// says nothing about the target.
func (s *server) pathFailed(ctx context.Context, address string) bool {
	return s.dialer.Blocked(address) || ctx.Err() == nil && s.dialer.Check(ctx, address) == connrelay.Blocked
}

// watchPath returns a context for an attempt that may be repeated. It is cancelled if no response
// arrives over a direct connection whose path is blocked. stop must be called when the exchange has
// ended.
func (s *server) watchPath(ctx context.Context, address string) (watched context.Context, stop func()) {
	var relayed atomic.Bool
	ctx, cancel := context.WithCancelCause(ctx)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { relayed.Store(connrelay.RelayOf(info.Conn) != "") },
	})
	timer := time.AfterFunc(silentResponseTimeout, func() {
		if s.dialer.Check(ctx, address) == connrelay.Blocked && !relayed.Load() {
			cancel(errPathBlocked)
		}
	})
	return ctx, func() {
		timer.Stop()
		cancel(nil)
	}
}
