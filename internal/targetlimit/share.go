package targetlimit

import (
	"slices"
	"time"
)

// view is a view of the fleet that another one has replaced.
type view struct {
	// members are its instances; empty if this instance had no share by it.
	members []string
	// until is when all others have learned of the change.
	until time.Duration
}

// earlierShare is an instance's rank in the rendezvous order of a target by an earlier view.
type earlierShare struct {
	view
	rank int
}

// keepView keeps the view of the fleet that is about to be replaced for as long as others may act by it.
func (l *Limiter) keepView(now time.Duration) {
	v := view{until: now + takeoverDelay}
	if l.mayHaveShare() {
		v.members = l.members
	}
	if !l.membershipKnown {
		v.until = l.startedAt + takeoverDelay // the others may have taken its share while it was down
	}
	l.earlierViews = append(slices.DeleteFunc(l.earlierViews, func(v view) bool { return now >= v.until }), v)
	for _, t := range l.targets {
		t.earlierShares = slices.DeleteFunc(t.earlierShares, func(s earlierShare) bool { return now >= s.until })
		t.earlierShares = append(t.earlierShares, earlierShare{view: v, rank: t.rank})
	}
}

// ownShare returns this instance's share of the slots of a target: the smallest by the views of the
// fleet that instances may have.
func (l *Limiter) ownShare(now time.Duration, t *target, id Target) int {
	room, unknown := t.room(now, id.Slots, l.bound(now, id)), !t.hasStated() && l.isUnknown(now, l.serviceOf(now, id.Service))
	var share int
	switch {
	case l.mayHaveShare():
		share = shareOf(room, t.rank, len(l.members))
	case unknown && l.membershipKnown:
		return shareOf(room, t.rank, len(l.members)+1) // it leaves, and can't know whether there is a bound at all
	}
	if unknown {
		return share // after a restart of all instances nobody would have a share
	}
	for _, s := range t.earlierShares {
		if now < s.until {
			share = min(share, shareOf(room, s.rank, len(s.members)))
		}
	}
	return share
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
