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
	// LastOffset is the offset of the last valid record of the resource.
	LastOffset platform.Offset
	// FirstHolder is set while the resource has its first holder ever.
	FirstHolder bool
	// HolderApplied is the last offset that the holder had folded when it wrote Last.
	HolderApplied platform.Offset
	// HasFloor is set while the holder, or nobody, holds the floor. It is
	// unset after a take-over whose former holder may still use it.
	HasFloor bool
	// FloorOwner and FloorAddress name that former holder.
	FloorOwner, FloorAddress string
	// AppliedAt is this process's clock when it folded Last.
	AppliedAt time.Duration
	// FloorSince is this process's clock when it folded the last record of
	// the holder that may still use the floor.
	FloorSince time.Duration
}

// joined is a known incarnation.
type joined struct {
	member Member
	at     platform.Offset
}

// Table is the state of all leases, from the control stream in offset order.
type Table struct {
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

// NewTable is the fold before offset 0.
func NewTable() *Table {
	return &Table{members: map[string]joined{}, states: map[Resource]State{}}
}

// Apply folds one record. Records of other kinds and void ones change
// nothing but the position. now is this process's clock.
func (f *Table) Apply(now time.Duration, off platform.Offset, e logrec.Envelope) error {
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

func (f *Table) applyKind(now time.Duration, off platform.Offset, e logrec.Envelope) error {
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

// NextOffset is the offset that the fold has not seen yet.
func (f *Table) NextOffset() platform.Offset { return f.next }

// State is the state of a resource; ok is false when no record named it.
func (f *Table) State(r Resource) (s State, ok bool) {
	s, ok = f.states[r]
	return s, ok
}

// EachHeld calls visit for each resource that has a holder.
func (f *Table) EachHeld(visit func(Resource, State)) {
	for r, s := range f.states {
		if s.Holder != "" {
			visit(r, s)
		}
	}
}

// join makes a member known; a repeat, such as after a lost answer, changes
// nothing.
func (f *Table) join(off platform.Offset, j Join) {
	if _, known := f.members[j.Member.ID]; !known {
		f.members[j.Member.ID] = joined{member: j.Member, at: off}
	}
}

// acquire gives the resource to the writer unless another valid record came
// in between: then both the old holder's renewal and a rival's acquire win
// over it, on every instance alike.
func (f *Table) acquire(off platform.Offset, now time.Duration, a Acquire) {
	s, known := f.states[a.Resource]
	if !known {
		s = State{LastOffset: NoOffset, HasFloor: true}
	}
	s.FirstHolder = !known
	m, ok := f.members[a.Holder]
	if !ok || s.LastOffset != a.ExpectedOffset || !f.due(a, s, m) {
		return
	}
	if a.Basis == BasisHoldExpired {
		s.HasFloor = true
	}
	if a.Basis == BasisExpired && s.HasFloor {
		s.HasFloor = false
		s.FloorSince = s.AppliedAt
		s.FloorOwner, s.FloorAddress = s.Holder, s.Address
	}
	s.Holder, s.Address = a.Holder, m.member.Address
	s.Token, s.LastOffset, s.HolderApplied, s.AppliedAt = off, off, a.AppliedThrough, now
	f.states[a.Resource] = s
}

// due checks the basis as far as the log shows it. That the time of a lapse is
// over is the writer's word, by its own clock.
func (f *Table) due(a Acquire, s State, m joined) bool {
	if d := a.Resource.Domain(); d != "" && d != m.member.Domain {
		return false
	}
	switch a.Basis {
	case BasisFree:
		return s.Holder == ""
	case BasisSuccessor:
		old, known := f.members[s.Holder]
		return s.Holder != "" && s.Address == m.member.Address && (!known || old.at < m.at)
	case BasisExpired:
		return s.Holder != "" && m.at <= s.HolderApplied
	case BasisHoldExpired:
		return s.Holder != ""
	}
	return false
}

// renew extends the leases that the writer still holds.
func (f *Table) renew(off platform.Offset, now time.Duration, r Renew) {
	for _, l := range r.Leases {
		s, ok := f.states[l.Resource]
		if !ok || s.Holder != r.Holder || s.Token != l.Token {
			continue
		}
		s.LastOffset, s.HolderApplied, s.AppliedAt = off, r.AppliedThrough, now
		s.HasFloor = s.HasFloor || l.ClaimsFloor
		f.states[l.Resource] = s
	}
}

// leave forgets an incarnation and frees what it held.
func (f *Table) leave(off platform.Offset, now time.Duration, l Leave) {
	delete(f.members, l.ID)
	for r, s := range f.states {
		if s.Holder == l.ID {
			f.free(r, s, off, now)
		}
	}
}

func (f *Table) free(r Resource, s State, off platform.Offset, now time.Duration) {
	s.Holder, s.Address = "", ""
	s.LastOffset, s.AppliedAt = off, now
	f.states[r] = s
}
