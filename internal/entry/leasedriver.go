package entry

import (
	"context"

	"github.com/mastictray/mastictray/internal/lease"
	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/logrec"
	"github.com/mastictray/mastictray/internal/platform"
	"github.com/mastictray/mastictray/internal/rate"
	"github.com/mastictray/mastictray/internal/wire"
)

func (d *rateDriver) handlePromise(_ context.Context, _ wire.Identity, f wire.Frame) (any, error) {
	var ask wire.LeasePromiseRequest
	if err := f.DecodeBody(&ask); err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.holder.HandlePromiseRequest(d.clock.now(), ask), nil
}

// tickLease does the lease holder's due work.
func (d *rateDriver) tickLease(ctx context.Context) {
	d.mu.Lock()
	ready := d.holder.Tick(d.clock.now())
	d.refreshParts()
	d.mu.Unlock()
	for _, r := range ready.Records {
		go d.append(ctx, r)
	}
	for _, a := range ready.PromiseRequests {
		go d.promise(ctx, a)
	}
}

// refreshParts tells the limiter what the leases allow. Callers hold mu.
func (d *rateDriver) refreshParts() {
	now := d.clock.now()
	grants := d.holder.Grants(now)
	mints := grants[:0]
	for _, g := range grants {
		if g.Resource != dutyRollout && g.Resource != dutySnapshot {
			mints = append(mints, g)
		}
	}
	d.limiter.SetAllocations(now, rate.AllocationsOf(mints, d.fleet.slots(), floorPart))
}

func (d *rateDriver) append(ctx context.Context, r lease.Record) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	data, err := logrec.Encode(r.Kind, d.node.Self().Incarnation, d.clock.wallMillis(), r.Body)
	if err == nil {
		_, err = d.log.Append(ctx, platform.StreamControl, [][]byte{data})
	}
	d.mu.Lock()
	d.holder.HandleAppendResult(r.Seq, err)
	d.mu.Unlock()
}

func (d *rateDriver) promise(ctx context.Context, a lease.PromiseRequest) {
	ctx, cancel := context.WithTimeout(ctx, promiseTimeout)
	defer cancel()
	var ans wire.LeasePromiseResponse
	if _, err := d.node.Call(ctx, a.Member.Address, wire.KindLeasePromise, a.Body, &ans); err != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.holder.HandlePromiseAnswer(a.ID, ans)
	d.refreshParts()
}

// valid reports whether this instance may act on a duty now, and with which
// fencing token.
func (d *rateDriver) dutyToken(r lease.Resource) (platform.Offset, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.holder.Valid(d.clock.now(), r) {
		return 0, false
	}
	return d.holder.Token(r)
}

func (d *rateDriver) next() platform.Offset {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.holder.Table().NextOffset()
}

func (d *rateDriver) read(b platform.Batch) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.now()
	d.logStart = b.Start
	for _, rec := range b.Records {
		env, err := logrec.Decode(rec.Data)
		if err != nil {
			logline.Error(err, "control_record_skipped", "offset", rec.Offset)
		}
		if err := d.holder.Apply(now, rec.Offset, env); err != nil {
			logline.Error(err, "control_record_skipped", "offset", rec.Offset)
		}
		for _, f := range d.folded {
			f(rec.Offset, env)
		}
	}
	if len(b.Records) == 0 || b.Records[len(b.Records)-1].Offset+1 >= b.Next {
		d.holder.MarkCaughtUp()
	}
	d.refreshSplit(now)
	if len(b.Records) > 0 {
		d.refreshPeers()
	}
	d.refreshParts()
	return nil
}

func (d *rateDriver) trimmed(start platform.Offset) {
	d.mu.Lock()
	d.holder.HandleTrim(start)
	d.mu.Unlock()
	logline.Info("control_trimmed", "start", start)
}

// checkpoint is the state of all leases, if it is known, and the oldest offset
// that the log has kept of them.
func (d *rateDriver) checkpoint() (c lease.Checkpoint, logStart platform.Offset, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c, ok = d.holder.Table().Checkpoint()
	return c, d.logStart, ok
}

// leave gives every lease back, at the end of a graceful shutdown.
func (d *rateDriver) leave(ctx context.Context) {
	d.mu.Lock()
	r := d.holder.Leave()
	d.limiter.SetAllocations(d.clock.now(), nil)
	d.mu.Unlock()
	d.append(ctx, r)
}
