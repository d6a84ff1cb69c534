package entry

import (
	"context"

	"github.com/mastictray/mastictray/internal/lease"
	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/logrec"
	"github.com/mastictray/mastictray/internal/platform"
	"github.com/mastictray/mastictray/internal/ratelease"
	"github.com/mastictray/mastictray/internal/wire"
)

// handlePromiseRequest answers a peer's request that this instance not acquire
// some leases for a while.
func (d *rateDriver) handlePromiseRequest(_ context.Context, _ wire.Identity, f wire.Frame) (any, error) {
	var req wire.LeasePromiseRequest
	if err := f.DecodeBody(&req); err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.holder.HandlePromiseRequest(d.clock.now(), req), nil
}

// tickLease starts the appends and promise requests that are due.
func (d *rateDriver) tickLease(ctx context.Context) {
	d.mu.Lock()
	ready := d.holder.Tick(d.clock.now())
	d.updateAllocations()
	d.mu.Unlock()
	for _, r := range ready.Records {
		go d.appendRecord(ctx, r)
	}
	for _, req := range ready.PromiseRequests {
		go d.requestPromise(ctx, req)
	}
}

// updateAllocations passes the allocations of the held rate slots to the limiter.
// The caller holds mu.
func (d *rateDriver) updateAllocations() {
	now := d.clock.now()
	grants := d.holder.Grants(now)
	slotGrants := grants[:0]
	for _, g := range grants {
		if g.Resource != dutyRollout && g.Resource != dutySnapshot {
			slotGrants = append(slotGrants, g)
		}
	}
	d.limiter.SetAllocations(now, ratelease.AllocationsOf(slotGrants, d.fleet.slots(), floorFraction))
}

// appendRecord appends a lease record and passes the result to the holder.
func (d *rateDriver) appendRecord(ctx context.Context, r lease.Record) {
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

// requestPromise sends a promise request to another member.
func (d *rateDriver) requestPromise(ctx context.Context, req lease.PromiseRequest) {
	ctx, cancel := context.WithTimeout(ctx, promiseTimeout)
	defer cancel()
	var resp wire.LeasePromiseResponse
	if _, err := d.node.Call(ctx, req.Member.Address, wire.KindLeasePromise, req.Body, &resp); err != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.holder.HandlePromiseAnswer(req.ID, resp)
	d.updateAllocations()
}

// dutyToken returns the fencing token of a duty lease, and whether this instance
// may act on the lease now.
func (d *rateDriver) dutyToken(r lease.Resource) (platform.Offset, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.holder.Valid(d.clock.now(), r) {
		return 0, false
	}
	return d.holder.Token(r)
}

func (d *rateDriver) nextOffset() platform.Offset {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.holder.Table().NextOffset()
}

func (d *rateDriver) handleBatch(b platform.Batch) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.now()
	d.logStart = b.Start
	for _, rec := range b.Records {
		env, err := logrec.Decode(rec.Data)
		if err != nil {
			logline.Error(err, "control_record_skipped", "offset", rec.Offset)
		}
		// An undecodable record is applied too, so that the offset advances.
		if err := d.holder.Apply(now, rec.Offset, env); err != nil {
			logline.Error(err, "control_record_skipped", "offset", rec.Offset)
		}
		for _, handler := range d.recordHandlers {
			handler(rec.Offset, env)
		}
	}
	if len(b.Records) == 0 || b.Records[len(b.Records)-1].Offset+1 >= b.Next {
		d.holder.MarkCaughtUp()
	}
	d.applySplit(now)
	if len(b.Records) > 0 {
		d.updatePeers()
	}
	d.updateAllocations()
	return nil
}

func (d *rateDriver) handleTrim(start platform.Offset) {
	d.mu.Lock()
	d.holder.HandleTrim(start)
	d.mu.Unlock()
	logline.Info("control_trimmed", "start", start)
}

// checkpoint returns the state of all leases and the oldest offset that the
// control stream retains. ok is false if the state is not known.
func (d *rateDriver) checkpoint() (c lease.Checkpoint, logStart platform.Offset, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c, ok = d.holder.Table().Checkpoint()
	return c, d.logStart, ok
}

// releaseLeases releases all leases at the end of a graceful shutdown.
func (d *rateDriver) releaseLeases(ctx context.Context) {
	d.mu.Lock()
	r := d.holder.Leave()
	d.limiter.SetAllocations(d.clock.now(), nil)
	d.mu.Unlock()
	d.appendRecord(ctx, r)
}
