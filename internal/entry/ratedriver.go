package entry

import (
	"context"
	"sync"
	"time"

	"github.com/mastictray/mastictray/internal/config"
	"github.com/mastictray/mastictray/internal/lease"
	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/logrec"
	"github.com/mastictray/mastictray/internal/peer"
	"github.com/mastictray/mastictray/internal/platform"
	"github.com/mastictray/mastictray/internal/rate"
	"github.com/mastictray/mastictray/internal/wire"
)

const (
	leaseTick      = 100 * time.Millisecond
	appendTimeout  = 3 * time.Second
	rateAskTimeout = 200 * time.Millisecond
	promiseTimeout = time.Second
	// floorPart is the part of each slot that its last holder may go on
	// spending while it is cut off from everything.
	floorPart = 0.25
)

// fleet is what all instances must agree on for the rates to add up.
type fleet struct {
	domains        []string
	slotsPerDomain int
}

func (f fleet) slots() int { return len(f.domains) * f.slotsPerDomain }

// rateDriver runs the lease protocol and the rate limiter of this instance.
type rateDriver struct {
	clock clock
	node  *peer.Node
	log   platform.Log
	fleet fleet

	mu      sync.Mutex
	holder  *lease.Holder
	limiter *rate.Limiter
	waiting map[rate.Ticket]chan rate.Outcome
	known   map[string]bool
	peers   []wire.Identity
	heard   map[string]float64 // by address: the share a peer says it mints
	heardAt map[string]time.Duration
	folded  []func(platform.Offset, logrec.Envelope)
	wake    chan struct{}
	// splitSeen is the version of the split that is in force here.
	splitSeen int
	// logStart is the oldest offset that the log had kept at the last read.
	logStart platform.Offset
}

func newRateDriver(c clock, node *peer.Node, log platform.Log, f fleet) *rateDriver {
	self := node.Self()
	member := lease.Member{ID: self.Incarnation, Domain: self.Domain, Address: self.Address}
	wanted := []lease.Resource{dutyRollout, dutySnapshot}
	for slot := range f.slotsPerDomain {
		wanted = append(wanted, lease.Mint(self.Domain, slot))
	}
	d := &rateDriver{
		clock:   c,
		node:    node,
		log:     log,
		fleet:   f,
		holder:  lease.NewHolder(lease.DefaultSettings(member, wanted)),
		limiter: rate.New(rate.DefaultSettings(self.Incarnation)),
		waiting: make(map[rate.Ticket]chan rate.Outcome),
		known:   make(map[string]bool),
		heard:   make(map[string]float64),
		heardAt: make(map[string]time.Duration),
		wake:    make(chan struct{}, 1),
	}
	node.Handle(wire.KindRateAsk, d.handleAsk)
	node.Handle(wire.KindRateReturn, d.handleReturn)
	node.Handle(wire.KindLeasePromise, d.handlePromise)
	return d
}

// Leases of duties that one instance of the fleet does at a time.
const (
	dutyRollout  lease.Resource = "duty/rollout"
	dutySnapshot lease.Resource = "duty/snapshot"
)

// setAccounts puts the accounts of a configuration into force.
func (d *rateDriver) setAccounts(s *config.State) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.now()
	accounts := s.Intent().Accounts
	for _, a := range accounts {
		d.limiter.SetAccount(now, a.Name, a.TokensPerSecond, a.BurstTokens)
		d.known[a.Name] = true
	}
	for name := range d.known {
		if _, ok := accounts[name]; !ok {
			delete(d.known, name)
			for _, o := range d.limiter.RemoveAccount(name) {
				d.finish(o)
			}
		}
	}
}

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
		factors[domain] = rate.FactorsOf(d.holder.Fold(), domain, len(d.fleet.domains))
	}
	for _, p := range d.peers {
		list = append(list, rate.Peer{
			ID:    p.Address,
			Local: p.Domain == d.node.Self().Domain,
			Share: max(rate.ShareOf(d.holder.Fold(), p.Incarnation, d.fleet.slots()), d.heard[p.Address]),

			Factors: factors[p.Domain],
		})
	}
	d.limiter.SetPeers(list)
}

// admit debits the cost of a request, waiting a little for tokens to come.
func (d *rateDriver) admit(ctx context.Context, account string, cost float64, deadline time.Duration) rate.Outcome {
	d.mu.Lock()
	o := d.limiter.Admit(d.clock.now(), account, cost, deadline)
	if !o.Waiting {
		d.mu.Unlock()
		return o
	}
	ch := make(chan rate.Outcome, 1)
	d.waiting[o.Ticket] = ch
	d.mu.Unlock()
	d.kick()
	select {
	case o = <-ch:
		return o
	case <-ctx.Done():
		return d.giveUp(account, o.Ticket, ctx.Err())
	}
}

// giveUp ends the wait of a caller that left. Tokens that were debited for it
// meanwhile go back.
func (d *rateDriver) giveUp(account string, t rate.Ticket, cause error) rate.Outcome {
	d.mu.Lock()
	defer d.mu.Unlock()
	if ch := d.waiting[t]; ch == nil {
		return rate.Outcome{Err: cause}
	} else if len(ch) > 0 {
		o := <-ch
		d.limiter.Settle(d.clock.now(), &o.Reservation, 0)
	}
	delete(d.waiting, t)
	d.limiter.Cancel(account, t)
	return rate.Outcome{Err: cause}
}

// confirm reports, right before dispatch, whether the debit still stands.
func (d *rateDriver) confirm(r rate.Reservation) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.limiter.Confirm(d.clock.now(), r)
}

// settle ends a reservation with what the request used.
func (d *rateDriver) settle(r *rate.Reservation, used float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.limiter.Settle(d.clock.now(), r, used)
}

// finish hands a decision to the request that waits for it. Callers hold mu.
func (d *rateDriver) finish(o rate.Outcome) {
	ch := d.waiting[o.Ticket]
	if ch == nil {
		d.limiter.Settle(d.clock.now(), &o.Reservation, 0)
		return
	}
	delete(d.waiting, o.Ticket)
	ch <- o
}

func (d *rateDriver) kick() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
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
			nextLease = now + leaseTick
		}
		timer.Reset(d.tickRate(ctx, nextLease))
	}
}

// tickRate does the limiter's due work and returns how long to sleep.
func (d *rateDriver) tickRate(ctx context.Context, nextLease time.Duration) time.Duration {
	d.mu.Lock()
	now := d.clock.now()
	ready := d.limiter.Tick(now)
	for _, o := range ready.Done {
		d.finish(o)
	}
	d.mu.Unlock()
	for _, a := range ready.Asks {
		go d.ask(ctx, a)
	}
	for _, r := range ready.Returns {
		go d.giveBack(ctx, r)
	}
	next := nextLease
	if ready.Next > 0 {
		next = min(next, ready.Next)
	}
	return max(next-now, time.Millisecond)
}

func (d *rateDriver) ask(ctx context.Context, a rate.Ask) {
	ctx, cancel := context.WithTimeout(ctx, rateAskTimeout)
	defer cancel()
	var grant wire.RateGrant
	_, err := d.node.Call(ctx, a.Peer, wire.KindRateAsk, a.Body, &grant)
	d.mu.Lock()
	if err != nil {
		d.limiter.AskFailed(d.clock.now(), a.ID)
	} else {
		d.limiter.HandleGrant(d.clock.now(), a.Peer, a.ID, grant)
	}
	d.mu.Unlock()
	d.kick()
}

func (d *rateDriver) giveBack(ctx context.Context, r rate.Return) {
	ctx, cancel := context.WithTimeout(ctx, rateAskTimeout)
	defer cancel()
	_ = d.node.Send(ctx, r.Peer, wire.KindRateReturn, r.Body)
}

func (d *rateDriver) handleAsk(_ context.Context, _ wire.Identity, f wire.Frame) (any, error) {
	var ask wire.RateAsk
	if err := f.Into(&ask); err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.limiter.HandleAsk(d.clock.now(), ask), nil
}

func (d *rateDriver) handleReturn(_ context.Context, _ wire.Identity, f wire.Frame) (any, error) {
	var r wire.RateReturn
	if err := f.Into(&r); err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.limiter.HandleReturn(d.clock.now(), r)
	return nil, nil
}

func (d *rateDriver) handlePromise(_ context.Context, _ wire.Identity, f wire.Frame) (any, error) {
	var ask wire.LeasePromiseAsk
	if err := f.Into(&ask); err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.holder.HandleAsk(d.clock.now(), ask), nil
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
	for _, a := range ready.Asks {
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
	d.limiter.SetParts(now, rate.PartsOf(mints, d.fleet.slots(), floorPart))
}

func (d *rateDriver) append(ctx context.Context, r lease.Record) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	data, err := logrec.Encode(r.Kind, d.node.Self().Incarnation, d.clock.wallMillis(), r.Body)
	if err == nil {
		_, err = d.log.Append(ctx, platform.StreamControl, [][]byte{data})
	}
	d.mu.Lock()
	d.holder.Appended(r.Seq, err)
	d.mu.Unlock()
}

func (d *rateDriver) promise(ctx context.Context, a lease.Ask) {
	ctx, cancel := context.WithTimeout(ctx, promiseTimeout)
	defer cancel()
	var ans wire.LeasePromiseAnswer
	if _, err := d.node.Call(ctx, a.Member.Address, wire.KindLeasePromise, a.Body, &ans); err != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.holder.HandleAnswer(a.ID, ans)
	d.refreshParts()
}

// valid reports whether this instance may act on a duty now, and with which
// fencing token.
func (d *rateDriver) valid(r lease.Resource) (platform.Offset, bool) {
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
	return d.holder.Fold().Next()
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
		d.holder.CaughtUp()
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
	d.holder.Trimmed(start)
	d.mu.Unlock()
	logline.Info("control_trimmed", "start", start)
}

// checkpoint is the state of all leases, if it is known, and the oldest offset
// that the log has kept of them.
func (d *rateDriver) checkpoint() (c lease.Checkpoint, logStart platform.Offset, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c, ok = d.holder.Fold().Checkpoint()
	return c, d.logStart, ok
}

// leave gives every lease back, at the end of a graceful shutdown.
func (d *rateDriver) leave(ctx context.Context) {
	d.mu.Lock()
	r := d.holder.Leave()
	d.limiter.SetParts(d.clock.now(), nil)
	d.mu.Unlock()
	d.append(ctx, r)
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
