package entry

import (
	"context"

	"github.com/mastictray/mastictray/internal/ratelease"
	"github.com/mastictray/mastictray/internal/wire"
)

// setPeers replaces the peers from which tokens can be requested.
func (d *rateDriver) setPeers(peers []wire.Identity) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peers = peers
	d.prunePeerShares()
	d.updatePeers()
}

// prunePeerShares removes the addresses that no peer has any more. Instances
// restart with other addresses, so both maps would otherwise grow with each
// restart in the fleet. The caller holds mu.
func (d *rateDriver) prunePeerShares() {
	current := make(map[string]bool, len(d.peers))
	for _, p := range d.peers {
		current[p.Address] = true
	}
	for addr := range d.heartbeatAt {
		if !current[addr] {
			delete(d.heartbeatAt, addr)
			delete(d.peerShares, addr)
		}
	}
}

// updatePeers passes to the limiter the share of all rates that each peer issues:
// the one in the log or the one that the peer itself reports, whichever is larger.
// With the log alone, an instance that starts during an outage of the log would
// know no peer to request tokens from. The caller holds mu.
func (d *rateDriver) updatePeers() {
	list := make([]ratelease.Peer, 0, len(d.peers))
	factors := make(map[string]map[string]float64, len(d.fleet.domains))
	for _, domain := range d.fleet.domains {
		factors[domain] = ratelease.FactorsOf(d.holder.Table(), domain, len(d.fleet.domains))
	}
	for _, p := range d.peers {
		list = append(list, ratelease.Peer{
			ID:         p.Address,
			SameDomain: p.Domain == d.node.Self().Domain,
			Share:      max(ratelease.ShareOf(d.holder.Table(), p.Incarnation, d.fleet.slots()), d.peerShares[p.Address]),
			Factors:    factors[p.Domain],
		})
	}
	d.limiter.SetPeers(list)
}

// requestTokens requests tokens from a peer and passes the grant to the limiter.
func (d *rateDriver) requestTokens(ctx context.Context, req ratelease.TokenRequest) {
	ctx, cancel := context.WithTimeout(ctx, rateRequestTimeout)
	defer cancel()
	var grant wire.RateGrant
	_, err := d.node.Call(ctx, req.Peer, wire.KindRateRequest, req.Body, &grant)
	d.mu.Lock()
	if err != nil {
		d.limiter.TokenRequestFailed(d.clock.now(), req.ID)
	} else {
		d.limiter.HandleGrant(d.clock.now(), req.Peer, req.ID, grant)
	}
	d.mu.Unlock()
	d.wake.notify()
}

// returnTokens reports to a peer which of the tokens that it granted were spent,
// which come back unspent and which were refunded.
func (d *rateDriver) returnTokens(ctx context.Context, r ratelease.Return) {
	ctx, cancel := context.WithTimeout(ctx, rateRequestTimeout)
	defer cancel()
	_ = d.node.Send(ctx, r.Peer, wire.KindRateReturn, r.Body)
}

func (d *rateDriver) handleTokenRequest(_ context.Context, _ wire.Identity, f wire.Frame) (any, error) {
	var req wire.RateRequest
	if err := f.DecodeBody(&req); err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.limiter.HandleTokenRequest(d.clock.now(), req), nil
}

func (d *rateDriver) handleTokenReturn(_ context.Context, _ wire.Identity, f wire.Frame) (any, error) {
	var r wire.RateReturn
	if err := f.DecodeBody(&r); err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.limiter.HandleReturn(d.clock.now(), r)
	return nil, nil
}

// hints returns this instance's largest balances and its share of all rates, for
// heartbeats.
func (d *rateDriver) hints() (wire.RateHints, float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.now()
	return d.limiter.Hints(now), d.limiter.Share(now)
}

// handleHeartbeat records the balances and the share of all rates that a peer
// reports.
func (d *rateDriver) handleHeartbeat(hb wire.Heartbeat) {
	d.mu.Lock()
	defer d.mu.Unlock()
	addr := hb.From.Address
	d.heartbeatAt[addr] = d.clock.now()
	d.limiter.HandleHints(d.heartbeatAt[addr], addr, hb.Hints)
	if d.peerShares[addr] != hb.RateShare {
		d.peerShares[addr] = hb.RateShare
		d.updatePeers()
	}
}

// issuedShare returns the share of all rates that this instance issues now.
func (d *rateDriver) issuedShare() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.limiter.Share(d.clock.now())
}
