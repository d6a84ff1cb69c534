package entry

import (
	"context"
	"sync"
	"time"

	"github.com/mastictray/mastictray/internal/claim"
	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/peer"
	"github.com/mastictray/mastictray/internal/platform"
)

// claimTick bounds the sleep between two looks at due work.
const claimTick = 50 * time.Millisecond

// claimDriver runs the claim machine of this instance.
type claimDriver struct {
	clock clock
	log   platform.Log

	mu      sync.Mutex
	machine *claim.Machine
	waiting map[string]chan claim.Answer
	wake    chan struct{}
}

func newClaimDriver(c clock, node *peer.Node, log platform.Log) *claimDriver {
	self := node.Self()
	return &claimDriver{
		clock:   c,
		log:     log,
		machine: claim.New(claim.Config{Incarnation: self.Incarnation, Address: self.Address}),
		waiting: make(map[string]chan claim.Answer),
		wake:    make(chan struct{}, 1),
	}
}

// begin asks for the right to run a keyed request and waits for the answer.
func (d *claimDriver) begin(ctx context.Context, req claim.Request) (claim.Answer, error) {
	ch := make(chan claim.Answer, 1)
	d.mu.Lock()
	if err := d.machine.Begin(d.clock.now(), d.clock.wallMillis(), req); err != nil {
		d.mu.Unlock()
		return claim.Answer{}, err
	}
	d.waiting[req.ID] = ch
	d.mu.Unlock()
	d.kick()
	select {
	case a := <-ch:
		return a, nil
	case <-ctx.Done():
		return d.giveUp(req.ID, ctx.Err())
	}
}

// giveUp frees the key of a caller that left before its answer.
func (d *claimDriver) giveUp(id string, cause error) (claim.Answer, error) {
	d.mu.Lock()
	delete(d.waiting, id)
	d.machine.Cancel(d.clock.now(), id)
	d.mu.Unlock()
	d.kick()
	return claim.Answer{}, cause
}

// dispatch is the last check before the first byte goes to a target.
func (d *claimDriver) dispatch(id string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.machine.BeginDispatch(d.clock.now(), id)
}

// cancel frees the key: nothing of the request reached a target.
func (d *claimDriver) cancel(id string) {
	d.mu.Lock()
	d.machine.Cancel(d.clock.now(), id)
	d.mu.Unlock()
	d.kick()
}

// finish records what became of a dispatched request.
func (d *claimDriver) finish(id string, res claim.Result) {
	d.mu.Lock()
	err := d.machine.Finish(d.clock.now(), id, res)
	d.mu.Unlock()
	if err != nil {
		logline.Error(err, "claim_result_lost", "request", id)
	}
	d.kick()
}

func (d *claimDriver) kick() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// run hands out the machine's due work until ctx ends.
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
		timer.Reset(d.step(ctx))
	}
}

// step does the due work and returns how long to sleep.
func (d *claimDriver) step(ctx context.Context) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.now()
	d.machine.Tick(now, d.clock.wallMillis())
	ready := d.machine.Ready(now)
	for _, a := range ready.Answers {
		if ch := d.waiting[a.ID]; ch != nil {
			delete(d.waiting, a.ID)
			ch <- a
		}
	}
	for _, a := range ready.Appends {
		go d.append(ctx, a)
	}
	if at, ok := d.machine.Wake(); ok {
		return min(max(at-now, time.Millisecond), claimTick)
	}
	return claimTick
}

func (d *claimDriver) append(ctx context.Context, a claim.Append) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := d.log.Append(ctx, platform.StreamClaims, a.Records)
	d.mu.Lock()
	d.machine.AppendDone(d.clock.now(), a.ID, err)
	d.mu.Unlock()
	d.kick()
}

func (d *claimDriver) next() platform.Offset {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.machine.ReadFrom()
}

func (d *claimDriver) read(b platform.Batch) error {
	d.mu.Lock()
	err := d.machine.Records(d.clock.now(), d.clock.wallMillis(), b)
	d.mu.Unlock()
	d.kick()
	return err
}

func (d *claimDriver) trimmed(start platform.Offset) {
	d.mu.Lock()
	d.machine.Trimmed(d.clock.now(), d.clock.wallMillis(), start)
	d.mu.Unlock()
	logline.Info("claims_trimmed", "start", start)
	d.kick()
}
