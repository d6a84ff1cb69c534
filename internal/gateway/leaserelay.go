package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/hubs"
	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/orderlease"
	"github.com/mastictray/mastictray/internal/wire"
)

// leaseStore reads and writes the record of the order lease in the store. A holder that
// the store refuses uses a peer as a relay. Without it, a rollout would stop until
// another instance may take the lease, which takes several seconds. A write is
// conditional on its offset, so a write that is sent both directly and through a relay
// is applied at most once.
type leaseStore struct {
	direct orderlease.Store
	// storeUnreachable reports whether the last read of some feed failed.
	storeUnreachable func() bool
	// relay makes the request through one peer; it returns errNoRelay if there is none.
	relay func(context.Context, wire.OrderLeaseRequest) (wire.OrderLeaseResponse, error)
}

// directLeaseTimeout bounds a holder's direct call, after which a peer is used instead.
// Two such calls end before the lease expires.
const directLeaseTimeout = 400 * time.Millisecond

// errNoRelay means that no reporting peer reaches the store.
var errNoRelay = errors.New("lease: no peer reaches the store")

// read reads the record. holder is set if this instance is the last known holder.
func (l *leaseStore) read(ctx context.Context, holder bool) (orderlease.Record, error) {
	var r orderlease.Record
	err := l.call(ctx, holder, wire.OrderLeaseRequest{}, func(ctx context.Context) (err error) {
		r, err = l.direct.ReadLease(ctx)
		return err
	}, func(response wire.OrderLeaseResponse) { r = fromWireLease(response.Record) })
	return r, err
}

// write writes a record. holder is set if this instance is the last known holder.
func (l *leaseStore) write(ctx context.Context, holder bool, offset int64, r orderlease.Record) (bool, error) {
	written := false
	err := l.call(ctx, holder, wire.OrderLeaseRequest{Write: true, ExpectedOffset: offset, Record: toWireLease(r)}, func(ctx context.Context) (err error) {
		written, err = l.direct.WriteLease(ctx, offset, r)
		return err
	}, func(response wire.OrderLeaseResponse) { written = response.Written })
	return written, err
}

// call makes a holder's request directly or, if that fails, through a relay. An
// instance that isn't the holder only uses the direct call.
func (l *leaseStore) call(ctx context.Context, holder bool, request wire.OrderLeaseRequest, direct func(context.Context) error, relayed func(wire.OrderLeaseResponse)) error {
	if !holder {
		return direct(ctx)
	}
	if !l.storeUnreachable() {
		directCtx, cancel := context.WithTimeout(ctx, directLeaseTimeout)
		err := direct(directCtx)
		cancel()
		if err == nil {
			return nil
		}
		logline.Error(err, "lease_turned_away", "write", request.Write)
	}
	response, err := l.relay(ctx, request)
	if errors.Is(err, errNoRelay) {
		return direct(ctx)
	}
	if err != nil {
		return err
	}
	relayed(response)
	return nil
}

func toWireLease(r orderlease.Record) wire.OrderLeaseRecord {
	return wire.OrderLeaseRecord{Holder: r.Holder, Instance: r.Instance, Released: r.Released, Token: r.Token, End: r.NextOffset}
}

func fromWireLease(r wire.OrderLeaseRecord) orderlease.Record {
	return orderlease.Record{Holder: r.Holder, Instance: r.Instance, Released: r.Released, Token: r.Token, NextOffset: r.End}
}

// relayLease sends a lease request through a reporting peer that reaches the store.
func (p *peers) relayLease(ctx context.Context, request wire.OrderLeaseRequest) (wire.OrderLeaseResponse, error) {
	address, node := p.relayAddress()
	if address == "" {
		return wire.OrderLeaseResponse{}, errNoRelay
	}
	var response wire.OrderLeaseResponse
	_, err := node.Call(ctx, address, wire.KindOrderLease, request, &response)
	return response, errors.Wrapf(err, "relay lease request: peer=%s", address)
}

// relayAddress returns the address of the first-ranked peer that reaches the store.
func (p *peers) relayAddress() (string, peerNode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, first := p.g.clock.Now(), ""
	for name, s := range p.known {
		if !s.state.StoreUnreachable && !s.state.Leaving && p.isFresh(now, s) && (first == "" || hubs.Compare(s.hubInstance(), p.known[first].hubInstance()) < 0) {
			first = name
		}
	}
	if first == "" || p.node == nil {
		return "", nil
	}
	return p.known[first].Address, p.node
}

// peerNode makes calls to peers.
type peerNode interface {
	Call(ctx context.Context, addr string, kind wire.Kind, body, response any) (wire.Identity, error)
}

// handleLeaseRequest makes a call to the store for a lease holder.
func (p *peers) handleLeaseRequest(ctx context.Context, _ wire.Identity, f wire.Frame) (any, error) {
	var request wire.OrderLeaseRequest
	if err := f.DecodeBody(&request); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if request.Write {
		written, err := p.g.store.WriteLease(ctx, request.ExpectedOffset, fromWireLease(request.Record))
		return wire.OrderLeaseResponse{Written: written}, err
	}
	r, err := p.g.store.ReadLease(ctx)
	return wire.OrderLeaseResponse{Record: toWireLease(r)}, err
}
