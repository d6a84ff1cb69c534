package entry

import (
	"context"
	"sync"
	"time"

	"github.com/mastictray/mastictray/internal/config"
	"github.com/mastictray/mastictray/internal/lease"
	"github.com/mastictray/mastictray/internal/logrec"
	"github.com/mastictray/mastictray/internal/peer"
	"github.com/mastictray/mastictray/internal/platform"
	"github.com/mastictray/mastictray/internal/ratelease"
	"github.com/mastictray/mastictray/internal/wire"
)

const (
	leaseTickInterval  = 100 * time.Millisecond
	appendTimeout      = 3 * time.Second
	rateRequestTimeout = 200 * time.Millisecond
	promiseTimeout     = time.Second
	// floorFraction is the fraction of a rate slot that its last holder may go
	// on issuing while it is partitioned and cannot renew the lease.
	floorFraction = 0.25
)

// fleetLayout is the division of the rates into rate slots. All instances must have
// the same, or the shares would not add up to the accounts' rates.
type fleetLayout struct {
	domains        []string
	slotsPerDomain int
}

func (f fleetLayout) slots() int { return len(f.domains) * f.slotsPerDomain }

// rateDriver connects this instance's lease holder and rate limiter to the log, the
// peers and the clock.
type rateDriver struct {
	clock clock
	node  *peer.Node
	log   platform.Log
	fleet fleetLayout

	mu             sync.Mutex
	holder         *lease.Holder
	limiter        *ratelease.Limiter
	waiters        map[ratelease.Ticket]chan ratelease.Outcome
	accounts       map[string]bool // those that the limiter has
	peers          []wire.Identity
	peerShares     map[string]float64       // by address: the share of all rates that the peer reports to issue
	heartbeatAt    map[string]time.Duration // by address: arrival of the last heartbeat
	recordHandlers []func(platform.Offset, logrec.Envelope)
	wake           wakeSignal
	// splitVersion is the version of the split that the limiter applies.
	splitVersion int
	// logStart is the oldest offset that the log retained at the last read.
	logStart platform.Offset
}

func newRateDriver(c clock, node *peer.Node, log platform.Log, f fleetLayout) *rateDriver {
	self := node.Self()
	member := lease.Member{ID: self.Incarnation, Domain: self.Domain, Address: self.Address}
	wanted := []lease.Resource{dutyRollout, dutySnapshot}
	for slot := range f.slotsPerDomain {
		wanted = append(wanted, lease.RateSlot(self.Domain, slot))
	}
	d := &rateDriver{
		clock:       c,
		node:        node,
		log:         log,
		fleet:       f,
		holder:      lease.NewHolder(lease.DefaultSettings(member, wanted)),
		limiter:     ratelease.New(ratelease.DefaultSettings(self.Incarnation)),
		waiters:     make(map[ratelease.Ticket]chan ratelease.Outcome),
		accounts:    make(map[string]bool),
		peerShares:  make(map[string]float64),
		heartbeatAt: make(map[string]time.Duration),
		wake:        newWakeSignal(),
	}
	node.Handle(wire.KindRateRequest, d.handleTokenRequest)
	node.Handle(wire.KindRateReturn, d.handleTokenReturn)
	node.Handle(wire.KindLeasePromise, d.handlePromiseRequest)
	return d
}

// Leases of duties that only one instance of the fleet performs at a time.
const (
	dutyRollout  lease.Resource = "duty/rollout"
	dutySnapshot lease.Resource = "duty/snapshot"
)

// setAccounts passes the accounts of a new configuration to the limiter and removes
// those that it no longer has.
func (d *rateDriver) setAccounts(s *config.State) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.now()
	configured := s.Intent().Accounts
	for _, a := range configured {
		d.limiter.SetAccount(now, a.Name, a.TokensPerSecond, a.BurstTokens)
		d.accounts[a.Name] = true
	}
	for name := range d.accounts {
		if _, ok := configured[name]; !ok {
			delete(d.accounts, name)
			for _, o := range d.limiter.RemoveAccount(name) {
				d.deliver(o)
			}
		}
	}
}

// admit debits the cost of a request. If tokens are missing it waits for them, at
// most until the deadline.
func (d *rateDriver) admit(ctx context.Context, account string, cost float64, deadline time.Duration) ratelease.Outcome {
	d.mu.Lock()
	o := d.limiter.Admit(d.clock.now(), account, cost, deadline)
	if !o.Waiting {
		d.mu.Unlock()
		return o
	}
	ch := make(chan ratelease.Outcome, 1)
	d.waiters[o.Ticket] = ch
	d.mu.Unlock()
	d.wake.notify()
	select {
	case o = <-ch:
		return o
	case <-ctx.Done():
		return d.cancelWait(account, o.Ticket, ctx.Err())
	}
}

// cancelWait removes the waiting request of a caller that disconnected. Tokens that
// were debited for it in the meantime are returned.
func (d *rateDriver) cancelWait(account string, t ratelease.Ticket, cause error) ratelease.Outcome {
	d.mu.Lock()
	defer d.mu.Unlock()
	if ch := d.waiters[t]; ch == nil {
		return ratelease.Outcome{Err: cause}
	} else if len(ch) > 0 {
		o := <-ch
		d.limiter.Settle(d.clock.now(), &o.Reservation, 0)
	}
	delete(d.waiters, t)
	d.limiter.Cancel(account, t)
	return ratelease.Outcome{Err: cause}
}

// reservationValid reports whether a request may still be dispatched on its
// reservation. It is called right before the dispatch.
func (d *rateDriver) reservationValid(r ratelease.Reservation) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.limiter.Confirm(d.clock.now(), r)
}

// settle ends a reservation. used is the number of tokens that the request cost.
func (d *rateDriver) settle(r *ratelease.Reservation, used float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.limiter.Settle(d.clock.now(), r, used)
}

// deliver passes a decision to the request that waits for it. If that request is
// gone, its tokens are returned. The caller holds mu.
func (d *rateDriver) deliver(o ratelease.Outcome) {
	ch := d.waiters[o.Ticket]
	if ch == nil {
		d.limiter.Settle(d.clock.now(), &o.Reservation, 0)
		return
	}
	delete(d.waiters, o.Ticket)
	ch <- o
}

// run ticks the limiter and the leases until ctx ends.
func (d *rateDriver) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	nextLease := time.Duration(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.wake:
		case <-timer.C:
		}
		if now := d.clock.now(); now >= nextLease {
			d.tickLease(ctx)
			nextLease = now + leaseTickInterval
		}
		timer.Reset(d.tickRate(ctx, nextLease))
	}
}

// tickRate delivers the limiter's decisions, sends its messages and returns the time
// until the next tick.
func (d *rateDriver) tickRate(ctx context.Context, nextLease time.Duration) time.Duration {
	d.mu.Lock()
	now := d.clock.now()
	ready := d.limiter.Tick(now)
	for _, o := range ready.Done {
		d.deliver(o)
	}
	d.mu.Unlock()
	for _, req := range ready.TokenRequests {
		go d.requestTokens(ctx, req)
	}
	for _, r := range ready.Returns {
		go d.returnTokens(ctx, r)
	}
	next := nextLease
	if ready.NextTick > 0 {
		next = min(next, ready.NextTick)
	}
	return max(next-now, time.Millisecond)
}
