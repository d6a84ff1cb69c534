// Package targetlimit keeps the total request rate of all instances to a target
// within the limit, in requests per second, that the target advertises in its
// answers.
//
// Instances learn of each other's requests a few hundred milliseconds late,
// which is too late for a target that takes one or two requests per second. The
// right to send to a limited target is therefore assigned in advance: by
// rendezvous hashing over the fleet all instances choose the same few senders,
// and each sender gets an equal share of the limit. The other instances use
// other targets. The higher the limit, the more senders a target has.
//
// Two instances with different views of the fleet choose different senders for a
// while. A new sender therefore starts with no tokens and waits until the sender
// that it replaces has learned of the change. For the same reason a share of slots
// that grows by a change of the fleet counts only after that time, and one that
// shrinks at once.
//
// Instances pass a limit on together with a revision number, which increases
// with each change, so that all instances, including those that join later,
// converge on the latest change.
//
// A target may also state how many rejections per second it can bear for want of
// room. The instances then share its slots. If there are more instances than slots,
// only as many as there are slots have a share, chosen by rendezvous hashing like
// senders. A rejection halves the room that the fleet assumes at the target, and the
// room then recovers step by step. Each instance that is rejected also pauses for
// long enough that all of them together stay within the number stated.
//
// What a target can bear is known of its service before it is known of the target: one that has not
// answered yet counts as like the others, and while nothing is known of a service its targets count
// as such that bear few rejections. Otherwise a target that starts, or an instance, would come with as
// many requests as there are, until the first answers have gone round. An instance asks its peers for
// the bounds of services of which it knows nothing.
//
// A request that is given up keeps its part of the share until the target is seen to have closed
// its connection: a target that is silent still has it, and rejects it once it goes on.
//
// An instance without room of its own borrows a slot from one that has a free one, for one
// request. Every request that a target may have takes part of a share, also while it answers
// nothing: with a bound that only a rejection lowers, a silent target would get one request from
// each instance and reject most of them when it goes on.
//
// The room has a revision number like the limit. It adds two numbers to a report. A
// view that is late by some hundred milliseconds costs at most one rejection for each
// share that was in excess: whoever is rejected has paused by then.
//
// The package does no I/O and reads no clock.
package targetlimit

import (
	"cmp"
	"iter"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mastictray/mastictray/internal/directory"
)

const (
	// sendersPerUnitRate is the number of senders of a target for each request per
	// second of its limit. After an idle period each sender may send one request
	// at once, so this also bounds the burst that the target receives.
	sendersPerUnitRate = 1.5
	// takeoverDelay is how long a new sender waits before it accrues tokens, and an
	// instance before it uses a larger share of slots. By then the others have learned
	// of the change.
	takeoverDelay = 1500 * time.Millisecond
	// discoveryTimeout is how long after its start an instance that has not looked
	// up the fleet yet sends nothing to limited targets.
	discoveryTimeout = 7 * time.Second
	// rejectionShare is the share of the rejections that a target can bear which the
	// instances cause on average, so that few seconds have more than it can bear.
	rejectionShare = 0.5
	// minRejectionPause and maxRejectionPause bound the pauses after a rejection.
	minRejectionPause = time.Second
	maxRejectionPause = 30 * time.Second
	// roomRecoveryInterval is the time between two steps in which a lowered room recovers.
	// It covers the second over which rejections are counted and the time until all
	// instances know of one.
	roomRecoveryInterval = 2 * time.Second
)

// Limit is what a target states in its answers.
type Limit struct {
	// Rate is the number of requests per second that it accepts; 0 means unlimited.
	Rate float64
	// Rejections is the number of requests per second that it can reject for want of
	// room without failing; 0 means any number.
	Rejections float64
}

// Report is the latest known limit of a target.
type Report struct {
	Target  directory.Incarnation
	Service string
	Limit
	// Revision is incremented by each change of the limit; 0 before the target's first answer.
	Revision uint64
	// Room is the number of requests that the target had room for after the latest
	// rejection known; 0 if none is. RoomRevision is incremented by each change of it.
	Room         int
	RoomRevision uint64
}

// Limiter holds the limits of all targets as one instance knows them. It is not
// safe for concurrent use.
type Limiter struct {
	self     string
	selfHash uint64
	members  []string
	// view is that of the members.
	view            view
	membershipKnown bool
	startedAt       time.Duration
	// joined is set once a peer has told that it served before this instance started, startedTogether
	// once one has told that it did not.
	joined, startedTogether bool
	// earlierViews are the views of the fleet that were replaced less than takeoverDelay ago.
	earlierViews []earlierView
	targets      map[directory.Incarnation]*target
	services     map[string]*service
}

type target struct {
	Report
	// hash is that of its ID.
	hash uint64
	// changedAt is when this instance learned of the current limit.
	changedAt time.Duration
	// observed is true if an answer to a request of this instance stated the
	// current limit.
	observed bool
	// senderCount is the number of instances that may send to the target; isSender
	// is true if this instance is one of them.
	senderCount int
	isSender    bool
	// tokens is the number of requests that may be sent now, at most one.
	tokens    float64
	updatedAt time.Duration
	// rank is the number of instances that precede this one in the target's rendezvous
	// order.
	rank int
	// earlierShares are what this instance has by the limiter's earlier views.
	earlierShares []earlierShare
	// pausedUntil is the end of the pause after a rejection.
	pausedUntil time.Duration
	// roomChangedAt is when this instance learned of the current room.
	roomChangedAt time.Duration
	// lent are the slots that other instances use, borrowed those of others that this one uses.
	lent, borrowed []Loan
	// abandoned is the number of requests of this instance that were given up and that the target
	// may still have.
	abandoned int
}

// New returns a Limiter for the instance self, which starts at now.
func New(now time.Duration, self string) *Limiter {
	return &Limiter{self: self, selfHash: xxhash.Sum64String(self), startedAt: now, members: []string{self}, view: newView([]string{self}), targets: map[directory.Incarnation]*target{}, services: map[string]*service{}}
}

// SetFleet sets the names of all instances that may be serving. discovered is
// true once the fleet has been looked up since the start. An instance that is
// leaving is not listed and stops sending to limited targets.
func (l *Limiter) SetFleet(now time.Duration, names []string, discovered bool) {
	known := discovered || now-l.startedAt > discoveryTimeout
	if known == l.membershipKnown && slices.Equal(names, l.members) {
		return
	}
	l.keepView(now)
	l.members, l.membershipKnown, l.view = slices.Clone(names), known, newView(names)
	for _, t := range l.targets {
		l.assignSenders(now, t)
	}
}

// FleetSize returns the number of instances that may be serving, at least 1.
func (l *Limiter) FleetSize() int { return max(1, len(l.members)) }

// Observe records what a target stated in its answer to a request sent
// at the given time, and reports whether it changed. The answer to a
// request sent before the latest change is ignored, since it may be older than
// that change.
func (l *Limiter) Observe(now, sentAt time.Duration, id Target, limit Limit) (changed bool) {
	t := l.targets[id.Incarnation]
	stated := t != nil && t.hasStated()
	s := l.serviceOf(now, id.Service)
	s.known = true
	switch {
	case !stated && limit == Limit{} && s.rejections == 0:
		return false
	case t == nil:
		t = l.add(now, id.Incarnation, id.Service)
	case stated && t.Limit == limit:
		t.observed = true
		return false
	case sentAt < t.changedAt:
		return false
	}
	l.setLimit(now, t, limit, t.Revision+1)
	t.observed = true
	return true
}

// add adds a target of which nothing is known.
func (l *Limiter) add(now time.Duration, id directory.Incarnation, service string) *target {
	t := &target{Report: Report{Target: id, Service: service}, updatedAt: now}
	l.targets[id] = t
	t.hash = xxhash.Sum64String(id.ID)
	t.earlierShares = l.earlierSharesOf(t.hash)
	l.assignSenders(now, t)
	return t
}

// bounded returns the state of a target that bears few rejections, or nil if it bears any number.
func (l *Limiter) bounded(now time.Duration, id Target) (t *target, rejections float64) {
	if rejections = l.bound(now, id); rejections == 0 {
		return nil, 0
	}
	if t = l.targets[id.Incarnation]; t == nil {
		t = l.add(now, id.Incarnation, id.Service)
	}
	return t, rejections
}

// ApplyReports merges the reports of another instance. Of two changes with the
// same revision the stricter limit wins.
func (l *Limiter) ApplyReports(now time.Duration, reports []Report) {
	for _, r := range reports {
		t := l.targets[r.Target]
		if t == nil {
			t = l.add(now, r.Target, r.Service)
		}
		if r.Revision > t.Revision || r.Revision == t.Revision && r.Limit.stricter(t.Limit) {
			l.setLimit(now, t, r.Limit, r.Revision)
			t.observed = false
		}
		if r.RoomRevision > t.RoomRevision || r.RoomRevision == t.RoomRevision && r.Room < t.Room {
			t.Room, t.RoomRevision, t.roomChangedAt = r.Room, r.RoomRevision, now
		}
	}
}

// stricter reports whether a is stricter than b by rate or, if the rates are equal, by
// rejections.
func (a Limit) stricter(b Limit) bool {
	if a.Rate != b.Rate {
		return lower(a.Rate, b.Rate)
	}
	return lower(a.Rejections, b.Rejections)
}

// lower reports whether a is the lower bound; 0 is none.
func lower(a, b float64) bool { return a > 0 && (b == 0 || a < b) }

// setLimit replaces the limit of a target.
func (l *Limiter) setLimit(now time.Duration, t *target, limit Limit, revision uint64) {
	t.advance(now)
	s, before := l.serviceOf(now, t.Service), t.Rejections
	if !t.hasStated() && s.known {
		before = s.rejections
	}
	s.limited += limited(limit) - limited(t.Limit)
	t.Limit, t.Revision, t.changedAt = limit, revision, now
	if limit.Rejections == 0 {
		t.pausedUntil = 0
	}
	l.assignSenders(now, t)
	if limit.Rejections != before {
		l.updateService(t.Service)
	}
}

// limited returns 1 if a target with the given limit counts as limited, else 0.
func limited(l Limit) int {
	if l == (Limit{}) {
		return 0
	}
	return 1
}

// assignSenders determines the target's senders.
func (l *Limiter) assignSenders(now time.Duration, t *target) {
	t.advance(now)
	wasSender := t.isSender
	t.senderCount = min(len(l.members), max(1, int(math.Ceil(sendersPerUnitRate*t.Rate))))
	t.rank = l.view.rank(t.hash, l.selfHash)
	t.isSender = l.mayHaveShare() && t.rank < t.senderCount
	if t.isSender && !wasSender {
		t.tokens, t.updatedAt = 0, now+takeoverDelay
	}
}

// mayHaveShare reports whether this instance counts as one of the fleet at its peers.
func (l *Limiter) mayHaveShare() bool {
	return l.membershipKnown && slices.Contains(l.members, l.self)
}

// advance accrues this sender's share of the limit up to now, capped at one
// request.
func (t *target) advance(now time.Duration) {
	if now <= t.updatedAt {
		return
	}
	if t.isSender {
		t.tokens = min(1, t.tokens+t.Rate/float64(t.senderCount)*(now-t.updatedAt).Seconds())
	}
	t.updatedAt = now
}

// Permission tells what this instance may send to a target.
type Permission struct {
	// CanSend is set if it may send a request now. With RateLimited set, that covers a
	// single request.
	CanSend, RateLimited bool
	// ShareSlots is set if the instance may use only its share of the target's slots;
	// see MaxInFlight.
	ShareSlots bool
}

// LimitedTargets returns those of a service's targets that have a limit, and what may be sent to
// them now.
func (l *Limiter) LimitedTargets(now time.Duration, service string, targets iter.Seq[Target]) map[directory.Incarnation]Permission {
	s := l.serviceOf(now, service)
	if s.limited == 0 && s.rejections == 0 && !l.isUnknown(now, s) {
		return nil
	}
	out := map[directory.Incarnation]Permission{}
	for id := range targets {
		rejections, t := l.bound(now, id), l.targets[id.Incarnation]
		if limited := rejections > 0 || t != nil && t.Rate > 0; limited {
			out[id.Incarnation] = Permission{CanSend: t == nil || t.canSend(now), RateLimited: t != nil && t.Rate > 0, ShareSlots: rejections > 0}
		}
	}
	return out
}

// Abandon records that a request to a target that must reject little was given up, before it was
// known whether the target has seen that. Until Release it takes room there, since a silent target
// goes on with all that it was sent. ok is false if the target bears any number of rejections.
func (l *Limiter) Abandon(now time.Duration, id Target) (ok bool) {
	t, _ := l.bounded(now, id)
	if t == nil {
		return false
	}
	t.abandoned++
	return true
}

// Release records that a target no longer has an abandoned request.
func (l *Limiter) Release(id directory.Incarnation) {
	if t := l.targets[id]; t != nil && t.abandoned > 0 {
		t.abandoned--
	}
}

// MaxInFlight returns how many requests this instance may have in flight at a target, if that is
// limited because the target must reject little: its share of the slots with what it has borrowed,
// less what it has lent and what abandoned requests may still take.
func (l *Limiter) MaxInFlight(now time.Duration, id Target) (limit int, limited bool) {
	t, _ := l.bounded(now, id)
	if t == nil {
		return 0, false
	}
	t.expireLoans(now)
	return max(0, l.ownShare(now, t, id)+len(t.borrowed)-len(t.lent)-t.abandoned), true
}

// room returns the number of requests that a target with the given number of slots, which can bear
// the given number of rejections per second, is assumed to have room for.
func (t *target) room(now time.Duration, slots int, rejections float64) int {
	if t.Room == 0 || rejections == 0 {
		return slots
	}
	step := max(1, int(rejectionShare*rejections))
	return min(slots, t.Room+step*int(max(0, now-t.roomChangedAt)/roomRecoveryInterval))
}

// RecordRejection records that a target rejected a request
// for want of room that was sent at the given time. The instance sends nothing there for a
// time in which all that have a share may be rejected once, at rejectionShare of what the
// target can bear. The times differ by the instances' ranks, so that they don't try again
// together. It reports whether that lowered the room, and to what.
func (l *Limiter) RecordRejection(now, sentAt time.Duration, id Target) (room int, lowered bool) {
	t, rejections := l.bounded(now, id)
	if t == nil {
		return id.Slots, false
	}
	// A request sent before the latest change says nothing about what is sent since.
	if lowered = sentAt >= max(t.changedAt, t.roomChangedAt); lowered {
		t.Room, t.roomChangedAt = max(1, t.room(now, id.Slots, rejections)/2), now
		t.RoomRevision++
	}
	senders := max(1, min(len(l.members), t.Room))
	mean := float64(senders) / (rejectionShare * rejections) * float64(time.Second)
	pause := time.Duration(mean * (0.5 + (float64(min(t.rank, senders-1))+0.5)/float64(senders)))
	t.pausedUntil = max(t.pausedUntil, now+min(max(pause, minRejectionPause), maxRejectionPause))
	return t.Room, lowered
}

// BoundSince returns when this instance learned what a target states, and whether it knows a bound
// for its rejections. The time is 0 if that is taken from the others of its service.
func (l *Limiter) BoundSince(now time.Duration, id Target) (since time.Duration, known bool) {
	if l.bound(now, id) == 0 {
		return 0, false
	}
	if t := l.targets[id.Incarnation]; t != nil {
		since = t.changedAt
	}
	return since, true
}

// isIdle reports whether nothing has been learned of a target and no slot of it is lent or in use.
func (t *target) isIdle() bool {
	return !t.hasStated() && t.RoomRevision == 0 && t.pausedUntil == 0 && len(t.lent)+len(t.borrowed)+t.abandoned == 0
}

// CanSend reports whether this instance may send a request to a target now.
func (l *Limiter) CanSend(now time.Duration, id directory.Incarnation) bool {
	t := l.targets[id]
	return t == nil || t.canSend(now)
}

func (t *target) canSend(now time.Duration) bool {
	if now < t.pausedUntil {
		return false
	}
	if t.Rate == 0 {
		return true
	}
	t.advance(now)
	return t.isSender && t.tokens >= 1
}

// RecordSend records that a request is being sent to a target.
func (l *Limiter) RecordSend(now time.Duration, id directory.Incarnation) {
	if t := l.targets[id]; t != nil && t.Rate > 0 {
		t.advance(now)
		t.tokens--
	}
}

// Reports returns the limits to pass on to other instances: those of the targets
// that this instance sends to, so that joining instances learn of them, and
// those that it has observed itself.
func (l *Limiter) Reports() []Report {
	var out []Report
	for _, t := range l.targets {
		if (t.observed || t.isSender) && (t.hasStated() || t.RoomRevision > 0) {
			out = append(out, t.Report)
		}
	}
	slices.SortFunc(out, func(a, b Report) int {
		return cmp.Or(cmp.Compare(a.Target.ID, b.Target.ID), cmp.Compare(a.Target.StartedMs, b.Target.StartedMs))
	})
	return out
}

// Retain drops all targets for which exists returns false, and those that were added while their service
// was unknown and that have no state of their own.
func (l *Limiter) Retain(exists func(directory.Incarnation) bool) {
	changed := map[string]bool{}
	for id, t := range l.targets {
		if !exists(id) || t.isIdle() && l.services[t.Service].known {
			delete(l.targets, id)
			l.services[t.Service].limited -= limited(t.Limit)
			changed[t.Service] = true
		}
	}
	for name := range changed {
		l.updateService(name)
	}
}
