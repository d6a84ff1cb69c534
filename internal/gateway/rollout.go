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
	// rolloutInterval is the interval between two steps of the rollout.
	rolloutInterval = 100 * time.Millisecond
	// targetCallTimeout bounds a state query or an order to a target.
	targetCallTimeout = time.Second
	// candidateStagger is the delay per rank before an instance tries to take the
	// lease: usually the first-ranked instance has taken it by then.
	candidateStagger = 250 * time.Millisecond
)

// runRollouts brings the targets to the named versions while this instance holds the
// lease.
func (g *Gateway) runRollouts(ctx context.Context) {
	for sleep(ctx, rolloutInterval) {
		// A draining holder continues as long as it can, since its successor would have
		// to wait until the lease expires.
		if g.draining.Load() && !g.lease.isLastHolder() {
			continue
		}
		g.rolloutStep(ctx)
	}
}

// releaseLease releases the lease so that another instance can send orders at once.
func (g *Gateway) releaseLease(ctx context.Context) {
	offset, record, ok := g.lease.release()
	if !ok {
		return
	}
	if _, err := g.leaseStore.write(ctx, true, offset, record); err != nil {
		logline.Error(err, "lease_release_failed")
	}
}

// rolloutStep makes one step of the pending rollouts of weights and of software.
func (g *Gateway) rolloutStep(ctx context.Context) {
	pending := g.pendingRollouts()
	pendingSince, isPending := g.canaries.pendingSince()
	if len(pending) == 0 {
		g.setOrderedTargets(nil)
	} else if !isPending || pending[0].namedAt < pendingSince {
		pendingSince, isPending = pending[0].namedAt, true
	}
	if !isPending {
		g.readIdleLease(ctx)
		return
	}
	g.rolloutIdleSince = never
	g.maintainLease(ctx, pendingSince)
	token, held := g.lease.held(g.clock.Now())
	if held {
		g.stepCanaries(ctx, token)
	}
	for _, rollout := range pending {
		var actions weights.Actions
		g.mu.Lock()
		if held {
			actions = g.planner.Tick(g.clock.Now(), rollout.goal, rollout.targets)
		} else {
			actions = g.planner.TrackLoads(g.clock.Now(), rollout.goal, rollout.targets)
		}
		ordered := g.planner.LoadingTargets()
		g.mu.Unlock()
		g.setOrderedTargets(ordered)
		for _, l := range actions.Completed {
			logline.Info("weights_loaded", "target", l.Target.ID, "model", rollout.goal.Model, "version", l.Version, "took", l.Took, "loading", len(ordered))
		}
		for _, a := range actions.Queries {
			go g.queryState(ctx, a.Target)
		}
		for _, s := range actions.Orders {
			s.Order.Holder, s.Order.Token = g.self.Incarnation, token
			go g.sendOrder(ctx, s)
		}
	}
}

// pendingRollout is a goal that some targets don't serve yet.
type pendingRollout struct {
	goal    weights.Goal
	targets []directory.Registration
	namedAt time.Duration
}

func (g *Gateway) pendingRollouts() []pendingRollout {
	g.mu.Lock()
	defer g.mu.Unlock()
	var pending []pendingRollout
	g.forEachModel(func(s *routing.Service, model string, versions *namedVersions) {
		newest := versions.newest()
		goal := weights.Goal{Service: s.Name, Model: model, Version: newest.version, OldestServing: g.oldestServing[s.Name+"/"+model]}
		goal.Deadlines = g.weightsDeadlines(versions)
		targets := g.directory.Usable(s.Name)
		if service := g.engineServices[s.Name]; service != nil {
			goal.Unreachable = service.openBreakers()
		}
		if s.Engine.MovesRuns {
			goal.MoveTime = runMoveTime
		}
		if g.planner.HasPending(goal, targets) {
			pending = append(pending, pendingRollout{goal: goal, targets: targets, namedAt: newest.namedAt})
		}
	})
	return pending
}

// maintainLease takes or renews the lease if that is due. There has been work for its holder since
// pendingSince.
func (g *Gateway) maintainLease(ctx context.Context, pendingSince time.Duration) {
	now := g.clock.Now()
	if g.dialer.ConfirmedCount() > 0 && g.peers.hasDirectPaths() {
		return // orders are not relayed; a peer that reaches all targets takes over
	}
	if _, held := g.lease.held(now); !held && !g.shouldSeekLease(now, pendingSince) {
		return
	}
	if g.lease.readDue(now) {
		if err := g.readLease(ctx); err != nil {
			// During an outage of the store, all instances with a pending rollout would
			// otherwise read ten times a second.
			g.lease.handleReadFailure(g.clock.Now(), feedturn.RetryDelay(g.peers.fleetSize(), g.newRand()))
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
	record, err := g.leaseStore.read(ctx, g.lease.wasLastKnownHolder())
	if err != nil {
		return err
	}
	g.lease.handleRead(g.clock.Now(), record)
	return nil
}

func (g *Gateway) writeLease(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	offset, record, due := g.lease.propose(g.clock.Now())
	if !due {
		return nil
	}
	written, err := g.leaseStore.write(ctx, g.lease.wasLastKnownHolder(), offset, record)
	if g.lease.handleWrite(g.clock.Now(), offset, record, written, err) {
		logline.Info("lease_taken", "token", record.Token)
	}
	return err
}

// idleLeaseDelay is the time without a pending rollout after which the lease is read
// once. By then its holder has stopped renewing it.
const idleLeaseDelay = 2 * time.Second

// readIdleLease reads the lease once after a start or a rollout. The wait for another
// holder's lease to expire counts from when its record was first read. If it were read
// only when the next rollout is pending, a holder that disappeared long before would
// delay that rollout by 4.8 s. Only one instance per failure domain does this, which
// costs three calls per rollout in a fleet of three domains.
func (g *Gateway) readIdleLease(ctx context.Context) {
	now := g.clock.Now()
	if g.rolloutIdleSince == never {
		g.rolloutIdleSince = now
	}
	if dueAt := g.rolloutIdleSince + idleLeaseDelay; now < dueAt || !g.lease.rereadDue(now, dueAt) || !g.peers.isDomainReader() {
		return
	}
	if err := g.readLease(ctx); err != nil {
		g.lease.handleReadFailure(g.clock.Now(), feedturn.RetryDelay(g.peers.fleetSize(), g.newRand()))
		logline.Error(err, "lease_unread")
	}
}

// leaseReadInterval is the interval between reads of another holder's record.
const leaseReadInterval = time.Second

// shouldSeekLease reports whether this instance should try to take the lease: no peer
// holds it, and the instances that rank before this one have had time to take it. Each
// attempt is a call to the store; in a large fleet the attempts of all instances would
// cost more than the rollout. A holder publishes its record, so all instances know
// since when it has been unchanged if the holder disappears.
func (g *Gateway) shouldSeekLease(now, pendingSince time.Duration) bool {
	if g.peers.leaseHeldByPeer() {
		g.leaseHeldByPeerAt = now
		return false
	}
	if g.lease.wasLastKnownHolder() {
		return true
	}
	return now >= max(pendingSince, g.leaseHeldByPeerAt)+time.Duration(g.peers.rank())*candidateStagger
}

// setOrderedTargets records the targets that load on this instance's orders. They count
// here at once; peers learn of them with the next update.
func (g *Gateway) setOrderedTargets(ordered []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if slices.Equal(ordered, g.orderedTargets) {
		return
	}
	g.orderedTargets, g.loadingTargets = ordered, union(g.loadingTargets, ordered)
	g.updateVersionBounds()
}

// union returns a copy of set with more members.
func union(set map[string]bool, more []string) map[string]bool {
	out := maps.Clone(set)
	if out == nil {
		out = map[string]bool{}
	}
	for _, id := range more {
		out[id] = true
	}
	return out
}

func (g *Gateway) queryState(ctx context.Context, t directory.Registration) {
	ctx, cancel := context.WithTimeout(ctx, targetCallTimeout)
	defer cancel()
	queriedAt := g.clock.Now()
	o, err := g.control.State(ctx, t)
	if err != nil {
		g.dialer.Check(ctx, t.Address)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if err != nil {
		logline.Error(err, "target_state_failed", "target", t.ID)
		g.planner.HandleObservation(g.clock.Now(), t.Incarnation(), nil)
		return
	}
	o.QueriedAt = queriedAt
	g.planner.HandleObservation(g.clock.Now(), t.Incarnation(), &o)
	for model, v := range o.Versions {
		if service := g.engineServices[t.Service]; service != nil && !o.Busy {
			service.recordServedVersion(t.Incarnation(), model, v)
		}
	}
}

// sendOrder sends an order if the lease is still valid: the process may have been
// suspended since the order was planned.
func (g *Gateway) sendOrder(ctx context.Context, s weights.OutgoingOrder) {
	// An order that is still in flight when the lease expires could reach its target at
	// the same time as an order of the next holder.
	validFor := g.lease.validUntil() - g.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, min(targetCallTimeout, validFor))
	defer cancel()
	if token, held := g.lease.held(g.clock.Now()); !held || token != s.Order.Token {
		g.mu.Lock()
		g.planner.HandleReceipt(g.clock.Now(), s.Target.Incarnation(), weights.ReceiptConflict)
		g.mu.Unlock()
		return
	}
	receipt, err := g.control.Order(ctx, s.Target, s.Order)
	if err != nil {
		g.dialer.Check(ctx, s.Target.Address)
	}
	logline.Info("order", "target", s.Target.ID, "model", s.Order.Model, "version", s.Order.Version, "accepted_before", s.Order.ExpectedAccepted,
		"token", s.Order.Token, "receipt", string(receipt), "error", err)
	g.mu.Lock()
	defer g.mu.Unlock()
	if err == nil {
		g.planner.HandleReceipt(g.clock.Now(), s.Target.Incarnation(), receipt)
	}
}
