package gateway

import (
	"slices"
	"sync"
	"time"

	"github.com/mastictray/mastictray/internal/directory"
	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/targetlimit"
	"github.com/mastictray/mastictray/internal/wire"
)

// targetLimits shares a targetlimit.Limiter between goroutines. It holds the limits that targets
// state in their responses and that hold for all instances together.
// Its lock is acquired after all others.
type targetLimits struct {
	now func() time.Duration

	mu      sync.Mutex
	limiter *targetlimit.Limiter
}

func newTargetLimits(now func() time.Duration, instance string) *targetLimits {
	return &targetLimits{now: now, limiter: targetlimit.New(now(), instance)}
}

// limitedTarget returns a target as the limiter knows it.
func limitedTarget(r *directory.Registration) targetlimit.Target {
	return targetlimit.Target{Incarnation: r.Incarnation(), Service: r.Service, Slots: r.Slots}
}

// observe records the limit that a target stated in the response to a request sent at the
// given time.
func (t *targetLimits) observe(sent time.Duration, target *directory.Registration, limit targetlimit.Limit) {
	t.mu.Lock()
	changed := t.limiter.Observe(t.now(), sent, limitedTarget(target), limit)
	t.mu.Unlock()
	if changed {
		logline.Info("target_limit", "target", target.ID, "born", target.StartedMs, "limit", limit.Rate, "rejections", limit.Rejections)
	}
}

// setFleet sets all instances that may be serving. discovered is set once the fleet has
// been looked up.
func (t *targetLimits) setFleet(names []string, discovered bool) {
	slices.Sort(names)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limiter.SetFleet(t.now(), names, discovered)
}

// addService records that a service exists.
func (t *targetLimits) addService(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limiter.AddService(t.now(), name)
}

// unknownServices returns the services of which this instance doesn't know yet how few rejections their
// targets can bear.
func (t *targetLimits) unknownServices() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.limiter.UnknownServices(t.now())
}

// serviceBounds returns what is known of services that a peer asks for.
func (t *targetLimits) serviceBounds(names []string) (bounds []wire.ServiceBound) {
	if len(names) == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, b := range t.limiter.ServiceBounds(t.now(), names) {
		bounds = append(bounds, wire.ServiceBound{Service: b.Service, Rejections: b.Rejections, Settled: b.Settled})
	}
	return bounds
}

// applyServiceBounds applies what a peer knows of services that are unknown here.
func (t *targetLimits) applyServiceBounds(from string, bounds []wire.ServiceBound) {
	for _, b := range bounds {
		t.mu.Lock()
		t.limiter.ApplyServiceBounds(t.now(), []targetlimit.ServiceBound{{Service: b.Service, Rejections: b.Rejections, Settled: b.Settled}})
		t.mu.Unlock()
		logline.Info("service_bound", "service", b.Service, "rejections", b.Rejections, "settled", b.Settled, "peer", from)
	}
}

// fleetSize returns the number of instances that may be serving.
func (t *targetLimits) fleetSize() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.limiter.FleetSize()
}

// applyReports merges the limits that another instance reports.
func (t *targetLimits) applyReports(limits []wire.TargetLimit) {
	if len(limits) == 0 {
		return
	}
	reports := make([]targetlimit.Report, len(limits))
	for i, l := range limits {
		reports[i] = targetlimit.Report{Target: directory.Incarnation{ID: l.Target, StartedMs: l.Born}, Service: l.Service, Limit: targetlimit.Limit{Rate: l.Rate, Rejections: l.Rejections}, Revision: l.Revision, Room: l.Room, RoomRevision: l.RoomRevision}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limiter.ApplyReports(t.now(), reports)
}

// reports returns the limits that this instance passes on to others.
func (t *targetLimits) reports() []wire.TargetLimit {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []wire.TargetLimit
	for _, r := range t.limiter.Reports() {
		out = append(out, wire.TargetLimit{Target: r.Target.ID, Born: r.Target.StartedMs, Service: r.Service, Rate: r.Rate, Rejections: r.Rejections, Revision: r.Revision, Room: r.Room, RoomRevision: r.RoomRevision})
	}
	return out
}

// limitedTargets returns those of a service's targets that have a limit, and what this instance may
// send them now.
func (t *targetLimits) limitedTargets(service string, targets map[string]directory.Registration) map[directory.Incarnation]targetlimit.Permission {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.limiter.LimitedTargets(t.now(), service, func(yield func(targetlimit.Target) bool) {
		for _, r := range targets {
			if !yield(limitedTarget(&r)) {
				return
			}
		}
	})
}

// maxInFlight returns how many requests this instance may have in flight at a target, if that is
// limited because the target must reject little.
func (t *targetLimits) maxInFlight(target *directory.Registration) (limit int, limited bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.limiter.MaxInFlight(t.now(), limitedTarget(target))
}

// hasRoom reports whether this instance may have another request in flight at a target.
func (t *targetLimits) hasRoom(target *directory.Registration, inFlight int) bool {
	limit, limited := t.maxInFlight(target)
	return !limited || inFlight < limit
}

// rejectionView is what this instance assumed of a target that rejected a request.
type rejectionView struct {
	// limited is set if the target has stated how many rejections it can bear.
	limited bool
	// share is the instance's share of its slots, fleet the number of instances by which they
	// were divided.
	share, fleet int
	// boundSince is when this instance learned what the target can bear.
	boundSince time.Duration
}

// recordRejection records that a target rejected a request sent at the given time, and returns
// what was assumed when it did.
func (t *targetLimits) recordRejection(sent time.Duration, target *directory.Registration) rejectionView {
	id := limitedTarget(target)
	t.mu.Lock()
	var v rejectionView
	v.share, v.limited = t.limiter.MaxInFlight(t.now(), id)
	v.fleet = t.limiter.FleetSize()
	v.boundSince, _ = t.limiter.BoundSince(t.now(), id)
	room, lowered := t.limiter.RecordRejection(t.now(), sent, id)
	t.mu.Unlock()
	if lowered {
		logline.Info("target_room", "target", target.ID, "born", target.StartedMs, "room", room, "slots", target.Slots)
	}
	return v
}

// lenders returns the other instances that have a share of a target's slots.
func (t *targetLimits) lenders(target *directory.Registration) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.limiter.Lenders(t.now(), limitedTarget(target))
}

// lend lends a slot of a target, of which this instance uses the given number, if one is free.
func (t *targetLimits) lend(target *directory.Registration, inUse int, borrower string, loan uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.limiter.Lend(t.now(), limitedTarget(target), inUse, borrower, loan)
}

// endLoansOf ends the loans to a process of a peer that has ended.
func (t *targetLimits) endLoansOf(peer, incarnation string) {
	t.mu.Lock()
	ended := t.limiter.EndLoansOf(incarnation)
	t.mu.Unlock()
	if ended > 0 {
		logline.Info("slot_loans_ended", "peer", peer, "incarnation", incarnation, "loans", ended)
	}
}

// endLoan ends a loan to a borrower.
func (t *targetLimits) endLoan(id directory.Incarnation, borrower string, loan uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limiter.EndLoan(id, borrower, loan)
}

// borrow records a slot that a lender has granted.
func (t *targetLimits) borrow(target *directory.Registration, lender string, loan uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limiter.Borrow(t.now(), limitedTarget(target), lender, loan)
}

// hasBorrowed reports whether this instance has borrowed slots of a target.
func (t *targetLimits) hasBorrowed(id directory.Incarnation) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.limiter.HasBorrowed(id)
}

// takeUnusedLoans removes and returns the borrowed slots of a target that this instance, which uses
// the given number, doesn't need.
func (t *targetLimits) takeUnusedLoans(target *directory.Registration, inUse int) []targetlimit.Loan {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.limiter.TakeUnusedLoans(t.now(), limitedTarget(target), inUse)
}

// bearsFewRejections reports whether a target can bear only a limited number of rejections.
func (t *targetLimits) bearsFewRejections(target *directory.Registration) bool {
	_, limited := t.maxInFlight(target)
	return limited
}

// abandon records that a request was given up that its target may still have; see
// targetlimit.Limiter.Abandon.
func (t *targetLimits) abandon(target *directory.Registration) (ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.limiter.Abandon(t.now(), limitedTarget(target))
}

// release records that a target no longer has an abandoned request.
func (t *targetLimits) release(id directory.Incarnation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limiter.Release(id)
}

// canSend reports whether this instance may send a request to a target now.
func (t *targetLimits) canSend(id directory.Incarnation) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.limiter.CanSend(t.now(), id)
}

// recordSend records that a request is being sent to a target.
func (t *targetLimits) recordSend(id directory.Incarnation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limiter.RecordSend(t.now(), id)
}

// retain drops the targets for which exists returns false.
func (t *targetLimits) retain(exists func(directory.Incarnation) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limiter.Retain(exists)
}
