package gateway

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/orderlease"
	"github.com/mastictray/mastictray/internal/wire"
)

// countedLog is a log that may turn this instance away.
type countingLeaseStore struct {
	fails bool
	calls int
}

func (l *countingLeaseStore) ReadLease(context.Context) (orderlease.Record, error) {
	l.calls++
	if l.fails {
		return orderlease.Record{}, errors.New("turned away")
	}
	return orderlease.Record{Holder: "direct", NextOffset: 1}, nil
}

func (l *countingLeaseStore) WriteLease(context.Context, int64, orderlease.Record) (bool, error) {
	l.calls++
	if l.fails {
		return false, errors.New("turned away")
	}
	return true, nil
}

// Guards against a rollout that stops for seconds because the store turns the
// holder of the lease away.
func TestLeaseHolderFallsBackToPeer(t *testing.T) {
	const holder, other = true, false
	for name, c := range map[string]struct {
		holder, turnsAway, cut, peer bool
		by                           string // whose record is read; empty for none
		direct                       int    // own calls for a read and a write
	}{
		"the store answers":             {holder, false, false, true, "direct", 2},
		"the store turns it away":       {holder, true, false, true, "peer", 2},
		"it is known to be turned away": {holder, true, true, true, "peer", 0},
		"no peer reaches the store":     {holder, true, true, false, "", 2},
		"another instance does not ask": {other, true, true, true, "", 2},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			log := &countingLeaseStore{fails: c.turnsAway}
			l := &leaseStore{direct: log, storeUnreachable: func() bool { return c.cut }, relay: func(_ context.Context, call wire.OrderLeaseRequest) (wire.OrderLeaseResponse, error) {
				if !c.peer {
					return wire.OrderLeaseResponse{}, errNoRelay
				}
				return wire.OrderLeaseResponse{Record: wire.OrderLeaseRecord{Holder: "peer", End: 1}, Written: call.Write && call.ExpectedOffset == 7}, nil
			}}
			r, err := l.read(t.Context(), c.holder)
			is.Equal(r.Holder, c.by)
			is.Equal(err == nil, c.by != "")
			written, err := l.write(t.Context(), c.holder, 7, orderlease.Record{Holder: "a"})
			is.Equal(written, c.by != "")
			is.Equal(err == nil, c.by != "")
			is.Equal(log.calls, c.direct)
		})
	}
}
