package gateway

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/orderlease"
	"github.com/mastictray/mastictray/internal/wire"
)

// countingLeaseStore is a lease store that counts calls and may refuse them.
type countingLeaseStore struct {
	refuses bool
	calls   int
}

func (l *countingLeaseStore) ReadLease(context.Context) (orderlease.Record, error) {
	l.calls++
	if l.refuses {
		return orderlease.Record{}, errors.New("store: call refused")
	}
	return orderlease.Record{Holder: "direct", NextOffset: 1}, nil
}

func (l *countingLeaseStore) WriteLease(context.Context, int64, orderlease.Record) (bool, error) {
	l.calls++
	if l.refuses {
		return false, errors.New("store: call refused")
	}
	return true, nil
}

// Guards against a rollout that stops for seconds because the store refuses the calls
// of the lease holder.
func TestLeaseHolderFallsBackToPeer(t *testing.T) {
	const holder, other = true, false
	for name, c := range map[string]struct {
		holder, refuses, knownUnreachable, hasRelay bool
		wantHolder                                  string // holder in the record that is read; empty for an error
		wantDirectCalls                             int    // direct calls for a read and a write
	}{
		"the store answers":            {holder, false, false, true, "direct", 2},
		"the store refuses calls":      {holder, true, false, true, "peer", 2},
		"the store is known to refuse": {holder, true, true, true, "peer", 0},
		"no peer reaches the store":    {holder, true, true, false, "", 2},
		"not the holder, relay unused": {other, true, true, true, "", 2},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			store := &countingLeaseStore{refuses: c.refuses}
			l := &leaseStore{direct: store, storeUnreachable: func() bool { return c.knownUnreachable }, relay: func(_ context.Context, request wire.OrderLeaseRequest) (wire.OrderLeaseResponse, error) {
				if !c.hasRelay {
					return wire.OrderLeaseResponse{}, errNoRelay
				}
				return wire.OrderLeaseResponse{Record: wire.OrderLeaseRecord{Holder: "peer", End: 1}, Written: request.Write && request.ExpectedOffset == 7}, nil
			}}
			r, err := l.read(t.Context(), c.holder)
			is.Equal(r.Holder, c.wantHolder)
			is.Equal(err == nil, c.wantHolder != "")
			written, err := l.write(t.Context(), c.holder, 7, orderlease.Record{Holder: "a"})
			is.Equal(written, c.wantHolder != "")
			is.Equal(err == nil, c.wantHolder != "")
			is.Equal(store.calls, c.wantDirectCalls)
		})
	}
}
