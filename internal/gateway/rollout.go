package gateway

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/mastictray/mastictray/internal/directory"
	"github.com/mastictray/mastictray/internal/feedturn"
	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/routing"
	"github.com/mastictray/mastictray/internal/weights"
)

const (
	// rolloutEvery is the pause between two looks at the rollout.
	rolloutEvery = 100 * time.Millisecond
	// orderTimeout bounds a question or an order to a target.
	orderTimeout = time.Second
	// candidateStagger is the delay between instances that would begin a
	// rollout: the first in order of their names has mostly begun by then.
	candidateStagger = 250 * time.Millisecond
)

// runRollouts brings the targets to the named versions, while this instance
// holds the lease.
func (g *Gateway) runRollouts(ctx context.Context) {
	for sleep(ctx, rolloutEvery) {
		// A holder that drains goes on while it can: the next one would have
		// to wait for the lease to lapse.
		if g.closing.Load() && !g.lease.heldLast() {
			continue
		}
		g.rolloutStep(ctx)
	}
}

// releaseLease lets another instance go on with orders at once.
func (g *Gateway) releaseLease(ctx context.Context) {
	at, record, ok := g.lease.release()
	if !ok {
		return
	}
	if _, err := g.leaseLog.write(ctx, true, at, record); err != nil {
		logline.Error(err, "lease_unreleased")
	}
}

// rolloutStep is one look at the rollout.
func (g *Gateway) rolloutStep(ctx context.Context) {
	work := g.rolloutWork()
	if len(work) == 0 {
		g.setOrdered(nil)
		g.seeQuietLease(ctx)
		return
	}
	g.quietSince = never
	g.keepLease(ctx, work)
	token, held := g.lease.held(g.clock.Now())
	for _, w := range work {
		var actions weights.Actions
		g.mu.Lock()
		if held {
			actions = g.planner.Tick(g.clock.Now(), w.goal, w.targets)
		} else {
			actions = g.planner.TrackLoads(g.clock.Now(), w.goal, w.targets)
		}
		ordered := g.planner.LoadingTargets()
		g.mu.Unlock()
		g.setOrdered(ordered)
		for _, l := range actions.Completed {
			logline.Info("weights_loaded", "target", l.Target.ID, "model", w.goal.Model, "version", l.Version, "took", l.Took, "loading", len(ordered))
		}
		for _, a := range actions.Queries {
			go g.askState(ctx, a.Target)
		}
		for _, s := range actions.Orders {
			s.Order.Holder, s.Order.Token = g.self.Incarnation, token
			go g.giveOrder(ctx, s)
		}
	}
}

// rollingOut is a goal that some targets do not serve yet.
type rollingOut struct {
	goal    weights.Goal
	targets []directory.Registration
	since   time.Duration
}

func (g *Gateway) rolloutWork() []rollingOut {
	g.mu.Lock()
	defer g.mu.Unlock()
	var work []rollingOut
	g.eachGoal(func(s *routing.Service, model string, all *namedVersions) {
		v := all.newest()
		goal := weights.Goal{Service: s.Name, Model: model, Version: v.version, OldestServing: g.oldest[s.Name+"/"+model]}
		goal.Deadlines = g.weightsDeadlines(all)
		targets := g.directory.Usable(s.Name)
		if pool := g.engines[s.Name]; pool != nil {
			goal.Unreachable = pool.openBreakers()
		}
		if g.planner.HasPending(goal, targets) {
			work = append(work, rollingOut{goal: goal, targets: targets, since: v.at})
		}
	})
	return work
}

// keepLease renews or takes the lease where that is due.
func (g *Gateway) keepLease(ctx context.Context, work []rollingOut) {
	now := g.clock.Now()
	if _, held := g.lease.held(now); !held && !g.maySeekLease(now, work[0].since) {
		return
	}
	if g.lease.readDue(now) {
		if err := g.readLease(ctx); err != nil {
			// While the store is away, all instances with a rollout to do
			// would else ask ten times a second.
			g.lease.unread(g.clock.Now(), feedturn.RetryDelay(g.peers.fleetSize(), g.source()))
			logline.Error(err, "lease_unread")
			return
		}
	}
	if err := g.writeLease(ctx); err != nil {
		logline.Error(err, "lease_unwritten")
	}
}

func (g *Gateway) readLease(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	record, err := g.leaseLog.read(ctx, g.lease.wasHolder())
	if err != nil {
		return err
	}
	g.lease.read(g.clock.Now(), record)
	return nil
}

func (g *Gateway) writeLease(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	at, record, due := g.lease.propose(g.clock.Now())
	if !due {
		return nil
	}
	written, err := g.leaseLog.write(ctx, g.lease.wasHolder(), at, record)
	if g.lease.wrote(g.clock.Now(), at, record, written, err) {
		logline.Info("lease_taken", "token", record.Token)
	}
	return err
}

// quietLease is how long no rollout is to be done before the lease is read once:
// by then its holder has stopped renewing it.
const quietLease = 2 * time.Second

// seeQuietLease reads the lease once after a start or a rollout. The wait for the
// end of another holder's right counts from when its record was first seen. Seen
// only when there is work again, a holder that was gone long before would hold up
// the next rollout for 4.8 s. One instance a failure domain does so: three calls a
// rollout.
func (g *Gateway) seeQuietLease(ctx context.Context) {
	now := g.clock.Now()
	if g.quietSince == never {
		g.quietSince = now
	}
	if seen := g.quietSince + quietLease; now < seen || !g.lease.readBefore(now, seen) || !g.peers.readsForDomain() {
		return
	}
	if err := g.readLease(ctx); err != nil {
		g.lease.unread(g.clock.Now(), feedturn.RetryDelay(g.peers.fleetSize(), g.source()))
		logline.Error(err, "lease_unread")
	}
}

// leaseReadEvery is the pause between reads of another holder's record.
const leaseReadEvery = time.Second

// maySeekLease says whether this instance should look for the lease: no peer
// holds it, and those that come first have had the time to take
// it. Each look is a call to the store, and in a large fleet the looks of all
// would cost more than the rollout. A holder publishes its record, so all know
// since when it has been unchanged once its holder falls silent.
func (g *Gateway) maySeekLease(now, workSince time.Duration) bool {
	if g.peers.ordersHeld() {
		g.ordersHeldAt = now
		return false
	}
	if g.lease.wasHolder() {
		return true
	}
	return now >= max(workSince, g.ordersHeldAt)+time.Duration(g.peers.rank())*candidateStagger
}

// setOrdered notes which targets this instance has ordered. Here that counts at
// once; peers get it with the next update.
func (g *Gateway) setOrdered(ordered []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if slices.Equal(ordered, g.ordered) {
		return
	}
	g.ordered, g.loadingNow = ordered, with(g.loadingNow, ordered)
	g.updateVersionBounds()
}

// with is a set with more members; the set itself stays as it is.
func with(set map[string]bool, more []string) map[string]bool {
	out := maps.Clone(set)
	if out == nil {
		out = map[string]bool{}
	}
	for _, id := range more {
		out[id] = true
	}
	return out
}

func (g *Gateway) askState(ctx context.Context, t directory.Registration) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	asked := g.clock.Now()
	o, err := g.control.State(ctx, t)
	g.mu.Lock()
	defer g.mu.Unlock()
	if err != nil {
		logline.Error(err, "state_unknown", "target", t.ID)
		g.planner.HandleObservation(g.clock.Now(), t.Incarnation(), nil)
		return
	}
	o.QueriedAt = asked
	g.planner.HandleObservation(g.clock.Now(), t.Incarnation(), &o)
	for model, v := range o.Versions {
		if pool := g.engines[t.Service]; pool != nil && !o.Busy {
			pool.recordServedVersion(t.Incarnation(), model, v)
		}
	}
}

// giveOrder sends an order if the lease still allows it: the process may have
// been suspended since it was decided.
func (g *Gateway) giveOrder(ctx context.Context, s weights.OutgoingOrder) {
	// An order that is still on its way when the right ends could reach its
	// target next to one of another holder.
	left := g.lease.until() - g.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, min(orderTimeout, left))
	defer cancel()
	if token, held := g.lease.held(g.clock.Now()); !held || token != s.Order.Token {
		g.mu.Lock()
		g.planner.HandleReceipt(g.clock.Now(), s.Target.Incarnation(), weights.ReceiptConflict)
		g.mu.Unlock()
		return
	}
	receipt, err := g.control.Order(ctx, s.Target, s.Order)
	logline.Info("order", "target", s.Target.ID, "model", s.Order.Model, "version", s.Order.Version, "accepted_before", s.Order.ExpectedAccepted,
		"token", s.Order.Token, "receipt", string(receipt), "error", err)
	g.mu.Lock()
	defer g.mu.Unlock()
	if err == nil {
		g.planner.HandleReceipt(g.clock.Now(), s.Target.Incarnation(), receipt)
	}
}
