package lease

import (
	"time"

	"github.com/mastictray/mastictray/internal/logrec"
	"github.com/mastictray/mastictray/internal/platform"
)

// State is what the log says about one resource. All fields but the times are
// the same on every instance that has folded the same records.
type State struct {
	// Holder is the incarnation that holds the resource; empty when free.
	Holder string
	// Address is the holder's peer address.
	Address string
	// Token is the offset of the acquire: the fencing token.
	Token platform.Offset
	// Last is the offset of the last valid record of the resource.
	Last platform.Offset
	// First is set while the resource has its first holder ever.
	First bool
	// Seen is the last offset that the holder had folded when it wrote Last.
	Seen platform.Offset
	// Floor is set while the holder, or nobody, holds the floor. It is
	// unset after a take-over whose former holder may still use it.
	Floor bool
	// FloorOwner and FloorAddress name that former holder.
	FloorOwner, FloorAddress string
	// FoldedAt is this process's clock when it folded Last.
	FoldedAt time.Duration
	// FloorSince is this process's clock when it folded the last record of
	// the holder that may still use the floor.
	FloorSince time.Duration
}

// joined is a known incarnation.
type joined struct {
	member Member
	at     platform.Offset
}

// Fold is the state of all leases, from the control stream in offset order.
type Fold struct {
	next    platform.Offset
	members map[string]joined
	states  map[Resource]State

	splits splits

	// searching is set while records before floorOffset are lost and no
	// checkpoint was found; held are the records read meanwhile.
	searching   bool
	floorOffset platform.Offset
	seen        platform.Offset // before it was set
	held        []heldRecord
}

// NewFold is the fold before offset 0.
func NewFold() *Fold {
	return &Fold{members: map[string]joined{}, states: map[Resource]State{}}
}

// Apply folds one record. Records of other kinds and void ones change
// nothing but the position. now is this process's clock.
func (f *Fold) Apply(now time.Duration, off platform.Offset, e logrec.Envelope) error {
	if off < f.next {
		return nil
	}
	if f.searching {
		return f.search(now, off, e)
	}
	f.next = off + 1
	err := f.applyKind(now, off, e)
	f.settleSplit()
	return err
}

func (f *Fold) applyKind(now time.Duration, off platform.Offset, e logrec.Envelope) error {
	switch e.Kind {
	case KindJoin:
		return fold(e, func(j Join) { f.join(off, j) })
	case KindLeave:
		return fold(e, func(l Leave) { f.leave(off, now, l) })
	case KindAcquire:
		return fold(e, func(a Acquire) { f.acquire(off, now, a) })
	case KindRenew:
		return fold(e, func(r Renew) { f.renew(off, now, r) })
	case KindYield:
		return fold(e, f.yield)
	case KindSplit:
		return fold(e, func(s Split) { f.split(off, s) })
	}
	return nil
}

// fold decodes a body and hands it on.
func fold[T any](e logrec.Envelope, apply func(T)) error {
	var body T
	if err := e.DecodeBody(&body); err != nil {
		return err
	}
	apply(body)
	return nil
}

// Next is the offset that the fold has not seen yet.
func (f *Fold) Next() platform.Offset { return f.next }

// State is the state of a resource; ok is false when no record named it.
func (f *Fold) State(r Resource) (s State, ok bool) {
	s, ok = f.states[r]
	return s, ok
}

// Resources calls visit for each resource that has a holder.
func (f *Fold) Resources(visit func(Resource, State)) {
	for r, s := range f.states {
		if s.Holder != "" {
			visit(r, s)
		}
	}
}

// join makes a member known; a repeat, such as after a lost answer, changes
// nothing.
func (f *Fold) join(off platform.Offset, j Join) {
	if _, known := f.members[j.Member.ID]; !known {
		f.members[j.Member.ID] = joined{member: j.Member, at: off}
	}
}

// acquire gives the resource to the writer unless another valid record came
// in between: then both the old holder's renewal and a rival's acquire win
// over it, on every instance alike.
func (f *Fold) acquire(off platform.Offset, now time.Duration, a Acquire) {
	s, known := f.states[a.Resource]
	if !known {
		s = State{Last: NoOffset, Floor: true}
	}
	s.First = !known
	m, ok := f.members[a.Holder]
	if !ok || s.Last != a.BasedOn || !f.due(a, s, m) {
		return
	}
	if a.Basis == BasisHold {
		s.Floor = true
	}
	if a.Basis == BasisLapsed && s.Floor {
		s.Floor = false
		s.FloorSince = s.FoldedAt
		s.FloorOwner, s.FloorAddress = s.Holder, s.Address
	}
	s.Holder, s.Address = a.Holder, m.member.Address
	s.Token, s.Last, s.Seen, s.FoldedAt = off, off, a.Seen, now
	f.states[a.Resource] = s
}

// due checks the basis as far as the log shows it. That the time of a lapse is
// over is the writer's word, by its own clock.
func (f *Fold) due(a Acquire, s State, m joined) bool {
	if d := a.Resource.Domain(); d != "" && d != m.member.Domain {
		return false
	}
	switch a.Basis {
	case BasisFree:
		return s.Holder == ""
	case BasisSuccessor:
		old, known := f.members[s.Holder]
		return s.Holder != "" && s.Address == m.member.Address && (!known || old.at < m.at)
	case BasisLapsed:
		return s.Holder != "" && m.at <= s.Seen
	case BasisHold:
		return s.Holder != ""
	}
	return false
}

// renew extends the leases that the writer still holds.
func (f *Fold) renew(off platform.Offset, now time.Duration, r Renew) {
	for _, l := range r.Leases {
		s, ok := f.states[l.Resource]
		if !ok || s.Holder != r.Holder || s.Token != l.Token {
			continue
		}
		s.Last, s.Seen, s.FoldedAt = off, r.Seen, now
		s.Floor = s.Floor || l.Floor
		f.states[l.Resource] = s
	}
}

// leave forgets an incarnation and frees what it held.
func (f *Fold) leave(off platform.Offset, now time.Duration, l Leave) {
	delete(f.members, l.ID)
	for r, s := range f.states {
		if s.Holder == l.ID {
			f.free(r, s, off, now)
		}
	}
}

func (f *Fold) free(r Resource, s State, off platform.Offset, now time.Duration) {
	s.Holder, s.Address = "", ""
	s.Last, s.FoldedAt = off, now
	f.states[r] = s
}
