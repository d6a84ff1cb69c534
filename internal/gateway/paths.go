package gateway

import (
	"context"
	"net"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/connrelay"
	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/overload"
	"github.com/mastictray/mastictray/internal/peer"
	"github.com/mastictray/mastictray/internal/targetconn"
	"github.com/mastictray/mastictray/internal/targetpath"
	"github.com/mastictray/mastictray/internal/wire"
)

// silentAttemptTimeout is the time without data after which an attempt over a direct path that is
// blocked counts as lost.
const silentAttemptTimeout = 400 * time.Millisecond

// newTargetPool returns the dialer and the pool of the connections to targets.
func (g *Gateway) newTargetPool() (*connrelay.Dialer, *targetconn.Pool) {
	dialer := connrelay.NewDialer(connrelay.Options{
		Direct: g.dialDirect, Domain: g.settings.Domain, Now: g.clock.Now, Peers: g.relayPeers, OpenStream: g.openRelayStream,
		OnBlocked: func(address string, silent bool) {
			if silent {
				g.targets.CloseIdle(address) // they are probably dead
			}
		},
		// Paths to other targets are probably blocked too.
		OnConfirmed: func(string) { g.checkAllPaths.Store(true) },
		Keep:        func(address string, c net.Conn) { g.targets.Put(g.targets.Wrap(address, c)) },
	})
	o := targetconn.DefaultOptions()
	o.Dial = dialer.Dial
	o.Usable = func(address string, c net.Conn) bool {
		relay := connrelay.RelayOf(c)
		return relay == "" || dialer.Blocked(address) && g.peers.mayRelay(relay)
	}
	return dialer, targetconn.NewPool(o, g.clock.Now)
}

func (g *Gateway) relayPeers() []targetpath.Peer { return g.peers.relayPeers() }

func (g *Gateway) openRelayStream(ctx context.Context, address string, kind wire.Kind, request, response any) (*peer.Stream, error) {
	return g.peers.openStream(ctx, address, kind, request, response)
}

// isTargetAddress reports whether a registered target has this address.
func (g *Gateway) isTargetAddress(address string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.directory.HasAddress(address)
}

// sweepPaths probes the blocked direct paths and, if another one has stayed blocked, checks those
// to all targets in use.
func (g *Gateway) sweepPaths(ctx context.Context) {
	g.dialer.Probe(ctx, g.isTargetAddress, g.cancelSilentAttempts)
	if !g.checkAllPaths.Swap(false) {
		return
	}
	for _, address := range g.addressesInUse() {
		if !g.dialer.Blocked(address) {
			go g.dialer.Check(ctx, address)
		}
	}
}

// cancelSilentAttempts cancels the attempts at an address whose direct path is still blocked and
// from which nothing arrives.
func (g *Gateway) cancelSilentAttempts(address string) {
	for _, service := range g.listEngineServices() {
		service.cancelSilentAttempts(address)
	}
}

// maxPathChecks bounds the paths that are checked at a time.
const maxPathChecks = 32

// addressesInUse returns the addresses of targets to which there are connections.
func (g *Gateway) addressesInUse() []string {
	addresses := g.targets.IdleAddresses()
	for _, service := range g.listEngineServices() {
		addresses = append(addresses, service.runningAddresses()...)
	}
	slices.Sort(addresses)
	addresses = slices.Compact(addresses)
	return addresses[:min(len(addresses), maxPathChecks)]
}

// pathFailed reports whether an attempt failed because of the path to its target, which says
// nothing about the target. If it finds no path at all, it records that.
func (g *Gateway) pathFailed(ctx context.Context, a *targetAttempt, conn *targetconn.Conn, err error) bool {
	if connrelay.RelayOf(conn.NetConn()) != "" {
		return errors.Is(err, peer.ErrBroken)
	}
	if g.dialer.Blocked(a.target.Address) {
		return true
	}
	// A connection that was just established has shown that its path is open.
	if ctx.Err() != nil || !conn.Reused() && !connectionLost(err) {
		return false
	}
	state := g.dialer.Check(ctx, a.target.Address)
	logline.Info("path_checked", "target", a.target.ID, "address", a.target.Address, "state", state.String(), "error", err)
	if state == connrelay.Unreached {
		a.onUnreachable(err)
	}
	return state == connrelay.Blocked
}

// isConnectionFailure reports whether an attempt failed below HTTP: its connection broke, or was
// closed because nothing arrived.
func isConnectionFailure(err error) bool {
	var netErr net.Error
	return connectionLost(err) || errors.Is(err, net.ErrClosed) || errors.Is(err, peer.ErrBroken) || errors.As(err, &netErr)
}

// attemptResult returns the result of an attempt for the target's circuit breaker, and whether it
// failed because of the path to the target.
func (g *Gateway) attemptResult(ctx context.Context, a *targetAttempt, conn *targetconn.Conn, result outcome, err error) (overload.Result, bool) {
	r := breakerResult(ctx, result, err)
	if r == overload.Failed && result != outcomeDelivered && isConnectionFailure(err) && g.pathFailed(ctx, a, conn, err) {
		return overload.Cancelled, true
	}
	if r == overload.Failed && connectionLost(err) && a.failedForMemory != nil && a.failedForMemory() {
		a.memoryFailed = true
		return overload.Cancelled, false
	}
	return r, false
}
