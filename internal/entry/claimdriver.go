package entry

import (
	"context"
	"sync"
	"time"

	"github.com/mastictray/mastictray/internal/claim"
	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/peer"
	"github.com/mastictray/mastictray/internal/platform"
	"github.com/mastictray/mastictray/internal/wire"
)

// maxClaimSleep is the maximum time between two calls of tick.
const maxClaimSleep = 50 * time.Millisecond

// claimDriver connects this instance's claim.Machine to the log, the peers and
// the clock.
type claimDriver struct {
	ctx           context.Context
	clock         clock
	node          *peer.Node
	log           platform.Log
	peerAddresses func() []string

	mu      sync.Mutex
	machine *claim.Machine
	waiters map[string]chan claim.Answer // by request ID
	wake    wakeSignal
}

func newClaimDriver(ctx context.Context, c clock, node *peer.Node, log platform.Log, peers func() []string) *claimDriver {
	self := node.Self()
	d := &claimDriver{
		ctx:           ctx,
		clock:         c,
		node:          node,
		peerAddresses: peers,
		log:           log,
		machine:       claim.New(claim.Config{Incarnation: self.Incarnation, Address: self.Address}),
		waiters:       make(map[string]chan claim.Answer),
		wake:          newWakeSignal(),
	}
	node.Handle(wire.KindClaimSnapshot, d.handleSnapshot)
	return d
}

// acquire claims the key of a request and waits for the decision.
func (d *claimDriver) acquire(ctx context.Context, req claim.Request) (claim.Answer, error) {
	ch := make(chan claim.Answer, 1)
	d.mu.Lock()
	if err := d.machine.Begin(d.clock.now(), d.clock.wallMillis(), req); err != nil {
		d.mu.Unlock()
		return claim.Answer{}, err
	}
	d.waiters[req.ID] = ch
	d.mu.Unlock()
	d.wake.notify()
	select {
	case a := <-ch:
		return a, nil
	case <-ctx.Done():
		return d.abandon(req.ID, ctx.Err())
	}
}

// abandon releases the key of a request whose caller disconnected while its claim
// was undecided.
func (d *claimDriver) abandon(id string, cause error) (claim.Answer, error) {
	d.mu.Lock()
	delete(d.waiters, id)
	d.machine.Cancel(d.clock.now(), id)
	d.mu.Unlock()
	d.wake.notify()
	return claim.Answer{}, cause
}

// beginDispatch must be called right before the first byte is sent to a target.
// After an error the request must not be sent.
func (d *claimDriver) beginDispatch(id string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.machine.BeginDispatch(d.clock.now(), id)
}

// cancel releases the key of a request of which nothing was sent to a target.
func (d *claimDriver) cancel(id string) {
	d.mu.Lock()
	d.machine.Cancel(d.clock.now(), id)
	d.mu.Unlock()
	d.wake.notify()
}

// recordResult stores the outcome of a dispatched request for replays.
func (d *claimDriver) recordResult(id string, res claim.Result) {
	d.mu.Lock()
	err := d.machine.Finish(d.clock.now(), id, res)
	d.mu.Unlock()
	if err != nil {
		logline.Error(err, "claim_result_lost", "request", id)
	}
	d.wake.notify()
}

// processEnded records that the process with this incarnation has ended for good.
// Requests that wait for its results are answered at once.
func (d *claimDriver) processEnded(incarnation string) {
	d.mu.Lock()
	d.machine.ProcessEnded(d.clock.now(), incarnation)
	d.mu.Unlock()
	d.wake.notify()
}

// run calls tick whenever work is due, until ctx ends.
func (d *claimDriver) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.wake:
		case <-timer.C:
		}
		timer.Reset(d.tick(ctx))
	}
}

// tick delivers the decided answers, starts the due appends and returns the time
// until the next tick.
func (d *claimDriver) tick(ctx context.Context) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.now()
	d.machine.Tick(now, d.clock.wallMillis())
	ready := d.machine.Ready(now)
	for _, a := range ready.Answers {
		if ch := d.waiters[a.ID]; ch != nil {
			delete(d.waiters, a.ID)
			ch <- a
		}
	}
	for _, a := range ready.Appends {
		go d.appendRecords(ctx, a)
	}
	if at, ok := d.machine.NextWakeup(); ok {
		return min(max(at-now, time.Millisecond), maxClaimSleep)
	}
	return maxClaimSleep
}

func (d *claimDriver) appendRecords(ctx context.Context, a claim.Append) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := d.log.Append(ctx, platform.StreamClaims, a.Records)
	d.mu.Lock()
	d.machine.AppendDone(d.clock.now(), a.ID, err)
	d.mu.Unlock()
	d.wake.notify()
}

func (d *claimDriver) nextOffset() platform.Offset {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.machine.ReadFrom()
}

func (d *claimDriver) handleBatch(b platform.Batch) error {
	d.mu.Lock()
	err := d.machine.ApplyRecords(d.clock.now(), d.clock.wallMillis(), b)
	d.mu.Unlock()
	d.wake.notify()
	return err
}

func (d *claimDriver) handleTrim(start platform.Offset) {
	d.mu.Lock()
	d.machine.Trimmed(d.clock.now(), d.clock.wallMillis(), start)
	d.mu.Unlock()
	logline.Info("claims_trimmed", "start", start)
	d.wake.notify()
	go d.restoreFromPeers()
}

const (
	claimSnapshotPageSize = 1000
	claimSnapshotTimeout  = 5 * time.Second
)

func (d *claimDriver) handleSnapshot(_ context.Context, _ wire.Identity, f wire.Frame) (any, error) {
	var req wire.ClaimSnapshotRequest
	if err := f.DecodeBody(&req); err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.machine.Snapshot(platform.Offset(req.From), min(max(req.Limit, 1), claimSnapshotPageSize)).ToWire(), nil
}

// restoreFromPeers replaces the records that were trimmed from the log by the
// claim state of a peer. Without it, this instance would treat the keys of those
// records as unknown until the claim window has passed.
func (d *claimDriver) restoreFromPeers() {
	for _, addr := range d.peerAddresses() {
		pages, err := d.fetchSnapshot(addr)
		if err != nil {
			logline.Error(err, "claim_snapshot_failed", "peer", addr)
			continue
		}
		d.mu.Lock()
		restored := d.machine.Restore(pages)
		d.mu.Unlock()
		if restored {
			logline.Info("claims_from_peer", "peer", addr, "next", pages[0].Next)
			d.wake.notify()
			return
		}
	}
}

// fetchSnapshot reads a peer's whole claim state, page by page.
func (d *claimDriver) fetchSnapshot(addr string) ([]claim.Page, error) {
	ctx, cancel := context.WithTimeout(d.ctx, claimSnapshotTimeout)
	defer cancel()
	var pages []claim.Page
	for from := int64(-1); ; {
		var body wire.ClaimPage
		if _, err := d.node.Call(ctx, addr, wire.KindClaimSnapshot, wire.ClaimSnapshotRequest{From: from, Limit: claimSnapshotPageSize}, &body); err != nil {
			return nil, err
		}
		page, err := claim.PageFromWire(body)
		if err != nil {
			return nil, err
		}
		pages = append(pages, page)
		if !page.More {
			return pages, nil
		}
		from = int64(page.After)
	}
}
