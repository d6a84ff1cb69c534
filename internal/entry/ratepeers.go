package entry

import (
	"context"

	"github.com/mastictray/mastictray/internal/rate"
	"github.com/mastictray/mastictray/internal/wire"
)

// setPeers replaces the peers that are asked for tokens.
func (d *rateDriver) setPeers(peers []wire.Identity) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peers = peers
	d.forgetOthers()
	d.refreshPeers()
}

// forgetOthers drops what was heard from addresses that are no peers any more:
// instances come back at other addresses, and both maps would grow with each
// restart in the fleet. Callers hold mu.
func (d *rateDriver) forgetOthers() {
	present := make(map[string]bool, len(d.peers))
	for _, p := range d.peers {
		present[p.Address] = true
	}
	for addr := range d.heardAt {
		if !present[addr] {
			delete(d.heardAt, addr)
			delete(d.heard, addr)
		}
	}
}

// refreshPeers tells the limiter what each peer mints: by the log, or by the
// peer's own word where that is more. The log alone would leave an instance
// that starts in an outage of the log without anybody to ask. Callers hold mu.
func (d *rateDriver) refreshPeers() {
	list := make([]rate.Peer, 0, len(d.peers))
	factors := make(map[string]map[string]float64, len(d.fleet.domains))
	for _, domain := range d.fleet.domains {
		factors[domain] = rate.FactorsOf(d.holder.Table(), domain, len(d.fleet.domains))
	}
	for _, p := range d.peers {
		list = append(list, rate.Peer{
			ID:         p.Address,
			SameDomain: p.Domain == d.node.Self().Domain,
			Share:      max(rate.ShareOf(d.holder.Table(), p.Incarnation, d.fleet.slots()), d.heard[p.Address]),

			Factors: factors[p.Domain],
		})
	}
	d.limiter.SetPeers(list)
}

func (d *rateDriver) ask(ctx context.Context, a rate.Ask) {
	ctx, cancel := context.WithTimeout(ctx, rateAskTimeout)
	defer cancel()
	var grant wire.RateGrant
	_, err := d.node.Call(ctx, a.Peer, wire.KindRateRequest, a.Body, &grant)
	d.mu.Lock()
	if err != nil {
		d.limiter.AskFailed(d.clock.now(), a.ID)
	} else {
		d.limiter.HandleGrant(d.clock.now(), a.Peer, a.ID, grant)
	}
	d.mu.Unlock()
	d.wake.notify()
}

func (d *rateDriver) giveBack(ctx context.Context, r rate.Return) {
	ctx, cancel := context.WithTimeout(ctx, rateAskTimeout)
	defer cancel()
	_ = d.node.Send(ctx, r.Peer, wire.KindRateReturn, r.Body)
}

func (d *rateDriver) handleAsk(_ context.Context, _ wire.Identity, f wire.Frame) (any, error) {
	var ask wire.RateRequest
	if err := f.DecodeBody(&ask); err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.limiter.HandleAsk(d.clock.now(), ask), nil
}

func (d *rateDriver) handleReturn(_ context.Context, _ wire.Identity, f wire.Frame) (any, error) {
	var r wire.RateReturn
	if err := f.DecodeBody(&r); err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.limiter.HandleReturn(d.clock.now(), r)
	return nil, nil
}

// hints are this instance's balances and its part of all rates, for
// heartbeats.
func (d *rateDriver) hints() (wire.RateHints, float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.now()
	return d.limiter.Hints(now), d.limiter.Share(now)
}

// takeHints notes a peer's balances and what it mints.
func (d *rateDriver) takeHints(hb wire.Heartbeat) {
	d.mu.Lock()
	defer d.mu.Unlock()
	addr := hb.From.Address
	d.heardAt[addr] = d.clock.now()
	d.limiter.HandleHints(d.heardAt[addr], addr, hb.Hints)
	if d.heard[addr] != hb.RateShare {
		d.heard[addr] = hb.RateShare
		d.refreshPeers()
	}
}

// share is the part of all rates that this instance mints now.
func (d *rateDriver) share() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.limiter.Share(d.clock.now())
}
