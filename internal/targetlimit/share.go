package targetlimit

import (
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// view is the instances of the fleet, by the hashes of their names.
type view []uint64

func newView(names []string) view {
	v := make(view, len(names))
	for i, name := range names {
		v[i] = xxhash.Sum64String(name)
	}
	return v
}

// rank returns how many instances precede the given one in the rendezvous order of a target.
func (v view) rank(target, instance uint64) (n int) {
	own := rendezvousWeight(target, instance)
	for _, other := range v {
		if rendezvousWeight(target, other) > own {
			n++
		}
	}
	return n
}

// rendezvousWeight returns the weight of an instance for a target, both given by their hashes: there
// may be thousands of both.
func rendezvousWeight(target, instance uint64) uint64 {
	const multiplier = 0x9e3779b97f4a7c15 // spreads the bits
	high, low := bits.Mul64(target^instance, multiplier)
	high, low = bits.Mul64(high^low^target, multiplier)
	return high ^ low
}

// earlierView is a view of the fleet that another one has replaced.
type earlierView struct {
	// view is empty if this instance had no share by it.
	view
	// until is when all others have learned of the change.
	until time.Duration
	// initial is set for the time before this instance knew the fleet.
	initial bool
}

// earlierShare is an instance's rank in the rendezvous order of a target by an earlier view.
type earlierShare struct {
	rank, instances int
	until           time.Duration
	initial         bool
}

// keepView keeps the view of the fleet that is about to be replaced for as long as others may act by it.
func (l *Limiter) keepView(now time.Duration) {
	v := earlierView{until: now + takeoverDelay}
	if l.mayHaveShare() {
		v.view = l.view
	}
	if !l.membershipKnown {
		v.until, v.initial = l.startedAt+takeoverDelay, true // the others may have taken its share while it was down
	}
	l.earlierViews = append(slices.DeleteFunc(l.earlierViews, func(v earlierView) bool { return now >= v.until }), v)
	for _, t := range l.targets {
		t.earlierShares = slices.DeleteFunc(t.earlierShares, func(s earlierShare) bool { return now >= s.until })
		t.earlierShares = append(t.earlierShares, earlierShare{t.rank, len(v.view), v.until, v.initial})
	}
}

// earlierSharesOf returns this instance's shares of a target by the earlier views.
func (l *Limiter) earlierSharesOf(target uint64) []earlierShare {
	var shares []earlierShare
	for _, v := range l.earlierViews {
		shares = append(shares, earlierShare{v.rank(target, l.selfHash), len(v.view), v.until, v.initial})
	}
	return shares
}

// ownShare returns this instance's share of the slots of a target: the smallest by the views of the
// fleet that instances may have.
func (l *Limiter) ownShare(now time.Duration, t *target, id Target) int {
	room := t.room(now, id.Slots, l.bound(now, id))
	if !t.hasStated() && l.isUnknown(now, l.serviceOf(now, id.Service)) {
		return l.unknownShare(t, room)
	}
	if !l.mayHaveShare() {
		return 0
	}
	share := shareOf(room, t.rank, len(l.members))
	for _, s := range t.earlierShares {
		if now < s.until && (!s.initial || l.mayHaveJoined()) {
			share = min(share, shareOf(room, s.rank, s.instances))
		}
	}
	return share
}

// mayHaveJoined reports whether others may have served before this instance started, which have its share
// until they learn of it.
func (l *Limiter) mayHaveJoined() bool {
	return l.joined || !l.startedTogether && len(l.members) > 1
}

// unknownShare returns this instance's share of the slots of a target of which nothing is known, by the
// newest view of the fleet: after a restart of all instances nobody would have one by all views. An
// instance that leaves has one too, as it can't know whether there is a bound at all.
func (l *Limiter) unknownShare(t *target, room int) int {
	switch {
	case l.mayHaveShare():
		return shareOf(room, t.rank, len(l.members))
	case l.membershipKnown:
		return shareOf(room, t.rank, len(l.members)+1)
	}
	return 0
}

// shareOf returns the share of an instance in the slots that a target has room for. The first instances
// in the target's rendezvous order get the slots that remain after equal shares.
func shareOf(room, rank, instances int) int {
	if instances == 0 {
		return 0
	}
	share := room / instances
	if rank < room%instances {
		share++
	}
	return share
}
