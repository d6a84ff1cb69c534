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

// leaseLog is the lease's record in the store. A holder that the store turns
// away reaches it through a peer: a rollout would else stop until another
// instance may take the lease, several seconds later. A write is conditional on
// its offset, so one that is sent both ways is carried out once at most.
type leaseStore struct {
	direct orderlease.Store
	// cut says that the store was not reached lately.
	storeUnreachable func() bool
	// relay makes the call through one peer; errNoRelay where there is none.
	relay func(context.Context, wire.OrderLeaseRequest) (wire.OrderLeaseResponse, error)
}

// directLeaseTimeout bounds a holder's own call while a peer may make it
// instead: two of them end before the right does.
const directLeaseTimeout = 400 * time.Millisecond

// errNoRelay: no connected peer reaches the store.
var errNoRelay = errors.New("lease: no peer reaches the store")

// read reads the record, as the holder or not.
func (l *leaseStore) read(ctx context.Context, holder bool) (orderlease.Record, error) {
	var r orderlease.Record
	err := l.call(ctx, holder, wire.OrderLeaseRequest{}, func(ctx context.Context) (err error) {
		r, err = l.direct.ReadLease(ctx)
		return err
	}, func(a wire.OrderLeaseResponse) { r = fromWireLease(a.Record) })
	return r, err
}

// write writes a record of the holder.
func (l *leaseStore) write(ctx context.Context, holder bool, at int64, r orderlease.Record) (bool, error) {
	written := false
	err := l.call(ctx, holder, wire.OrderLeaseRequest{Write: true, ExpectedOffset: at, Record: toWireLease(r)}, func(ctx context.Context) (err error) {
		written, err = l.direct.WriteLease(ctx, at, r)
		return err
	}, func(a wire.OrderLeaseResponse) { written = a.Written })
	return written, err
}

// call makes a holder's call on whichever way works; others make it themselves.
func (l *leaseStore) call(ctx context.Context, holder bool, c wire.OrderLeaseRequest, direct func(context.Context) error, relayed func(wire.OrderLeaseResponse)) error {
	if !holder {
		return direct(ctx)
	}
	if !l.storeUnreachable() {
		bound, cancel := context.WithTimeout(ctx, directLeaseTimeout)
		err := direct(bound)
		cancel()
		if err == nil {
			return nil
		}
		logline.Error(err, "lease_turned_away", "write", c.Write)
	}
	answer, err := l.relay(ctx, c)
	if errors.Is(err, errNoRelay) {
		return direct(ctx)
	}
	if err != nil {
		return err
	}
	relayed(answer)
	return nil
}

func toWireLease(r orderlease.Record) wire.OrderLeaseRecord {
	return wire.OrderLeaseRecord{Holder: r.Holder, Instance: r.Instance, Released: r.Released, Token: r.Token, End: r.NextOffset}
}

func fromWireLease(r wire.OrderLeaseRecord) orderlease.Record {
	return orderlease.Record{Holder: r.Holder, Instance: r.Instance, Released: r.Released, Token: r.Token, NextOffset: r.End}
}

// relayLease has a connected peer that reaches the store make the call.
func (p *peers) relayLease(ctx context.Context, c wire.OrderLeaseRequest) (wire.OrderLeaseResponse, error) {
	address, node := p.relayAddress()
	if address == "" {
		return wire.OrderLeaseResponse{}, errNoRelay
	}
	var answer wire.OrderLeaseResponse
	_, err := node.Call(ctx, address, wire.KindOrderLease, c, &answer)
	return answer, errors.Wrapf(err, "lease by peer=%s", address)
}

// relayAddress is the first in order of the peers that reach the store.
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

// peerNode calls peers.
type peerNode interface {
	Call(ctx context.Context, addr string, kind wire.Kind, body, answer any) (wire.Identity, error)
}

// serveLease makes a holder's call to the store.
func (p *peers) handleLeaseRequest(ctx context.Context, _ wire.Identity, f wire.Frame) (any, error) {
	var c wire.OrderLeaseRequest
	if err := f.DecodeBody(&c); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if c.Write {
		written, err := p.g.store.WriteLease(ctx, c.ExpectedOffset, fromWireLease(c.Record))
		return wire.OrderLeaseResponse{Written: written}, err
	}
	r, err := p.g.store.ReadLease(ctx)
	return wire.OrderLeaseResponse{Record: toWireLease(r)}, err
}
