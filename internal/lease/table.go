package lease

import (
	"time"

	"github.com/mastictray/mastictray/internal/logrec"
	"github.com/mastictray/mastictray/internal/platform"
)

// State is the state of one resource according to the log. All fields but the
// times are equal on every instance that has applied the same records.
type State struct {
	// Holder is the incarnation that holds the resource; empty when it is free.
	Holder string
	// Address is the holder's peer address.
	Address string
	// Token is the offset of the acquire record, which serves as the fencing
	// token.
	Token platform.Offset
	// LastOffset is the offset of the last valid record of the resource.
	LastOffset platform.Offset
	// FirstHolder is set while the resource is held by its first holder ever.
	FirstHolder bool
	// HolderApplied is the last offset that the holder had applied when it
	// wrote the record at LastOffset.
	HolderApplied platform.Offset
	// HasFloor is set unless a former holder may still use the floor after its
	// lease was taken over.
	HasFloor bool
	// FloorOwner and FloorAddress identify that former holder.
	FloorOwner, FloorAddress string
	// AppliedAt is when this process applied the record at LastOffset, by its
	// own clock.
	AppliedAt time.Duration
	// FloorSince is when this process applied the last record of the former
	// holder that may still use the floor, by its own clock.
	FloorSince time.Duration
}

// registration is a member with the offset of its join.
type registration struct {
	member   Member
	joinedAt platform.Offset
}

// Table holds the state of all leases. It is built by applying the control
// stream in offset order.
type Table struct {
	nextOffset platform.Offset
	members    map[string]registration
	leases     map[Resource]State

	splits splits

	// awaitingCheckpoint is set while the records before logStart are lost and
	// no checkpoint that covers them has been read. Records read meanwhile are
	// kept in buffered.
	awaitingCheckpoint bool
	logStart           platform.Offset
	appliedBeforeTrim  platform.Offset // last applied offset when the records were trimmed
	buffered           []bufferedRecord
}

// NewTable returns a table that has applied no record.
func NewTable() *Table {
	return &Table{members: map[string]registration{}, leases: map[Resource]State{}}
}

// Apply applies one record. Records of other kinds and invalid ones only
// advance the position. now is this process's clock.
func (t *Table) Apply(now time.Duration, off platform.Offset, e logrec.Envelope) error {
	if off < t.nextOffset {
		return nil
	}
	if t.awaitingCheckpoint {
		return t.bufferUntilCheckpoint(now, off, e)
	}
	t.nextOffset = off + 1
	err := t.applyKind(now, off, e)
	t.activateSplit()
	return err
}

func (t *Table) applyKind(now time.Duration, off platform.Offset, e logrec.Envelope) error {
	switch e.Kind {
	case KindJoin:
		return decodeAndApply(e, func(j Join) { t.join(off, j) })
	case KindLeave:
		return decodeAndApply(e, func(l Leave) { t.leave(off, now, l) })
	case KindAcquire:
		return decodeAndApply(e, func(a Acquire) { t.acquire(off, now, a) })
	case KindRenew:
		return decodeAndApply(e, func(r Renew) { t.renew(off, now, r) })
	case KindYield:
		return decodeAndApply(e, t.yield)
	case KindSplit:
		return decodeAndApply(e, func(s Split) { t.split(off, s) })
	}
	return nil
}

// decodeAndApply decodes a record's body and passes it to apply.
func decodeAndApply[T any](e logrec.Envelope, apply func(T)) error {
	var body T
	if err := e.DecodeBody(&body); err != nil {
		return err
	}
	apply(body)
	return nil
}

// NextOffset returns the offset of the next record to apply.
func (t *Table) NextOffset() platform.Offset { return t.nextOffset }

// State returns the state of a resource; ok is false when no record named it.
func (t *Table) State(r Resource) (s State, ok bool) {
	s, ok = t.leases[r]
	return s, ok
}

// EachHeld calls visit for each resource that has a holder.
func (t *Table) EachHeld(visit func(Resource, State)) {
	for r, s := range t.leases {
		if s.Holder != "" {
			visit(r, s)
		}
	}
}

// join registers a member. A repeated join, such as one that was appended again
// after its answer was lost, has no effect.
func (t *Table) join(off platform.Offset, j Join) {
	if _, known := t.members[j.Member.ID]; !known {
		t.members[j.Member.ID] = registration{member: j.Member, joinedAt: off}
	}
}

// acquire gives the resource to the writer unless another valid record of the
// resource came after the one that the writer had applied. So the old holder's
// renewal and a competing acquire with a lower offset both win, on every
// instance alike.
func (t *Table) acquire(off platform.Offset, now time.Duration, a Acquire) {
	s, known := t.leases[a.Resource]
	if !known {
		s = State{LastOffset: NoOffset, HasFloor: true}
	}
	s.FirstHolder = !known
	m, ok := t.members[a.Holder]
	if !ok || s.LastOffset != a.ExpectedOffset || !t.basisValid(a, s, m) {
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
	t.leases[a.Resource] = s
}

// basisValid checks the basis of an acquire as far as the log shows it. Whether
// the TTL or the hold time has passed is measured by the writer's own clock and
// cannot be checked here.
func (t *Table) basisValid(a Acquire, s State, m registration) bool {
	if d := a.Resource.Domain(); d != "" && d != m.member.Domain {
		return false
	}
	switch a.Basis {
	case BasisFree:
		return s.Holder == ""
	case BasisSuccessor:
		old, known := t.members[s.Holder]
		return s.Holder != "" && s.Address == m.member.Address && (!known || old.joinedAt < m.joinedAt)
	case BasisExpired:
		return s.Holder != "" && m.joinedAt <= s.HolderApplied
	case BasisHoldExpired:
		return s.Holder != ""
	}
	return false
}

// renew extends those of the listed leases that the writer still holds.
func (t *Table) renew(off platform.Offset, now time.Duration, r Renew) {
	for _, l := range r.Leases {
		s, ok := t.leases[l.Resource]
		if !ok || s.Holder != r.Holder || s.Token != l.Token {
			continue
		}
		s.LastOffset, s.HolderApplied, s.AppliedAt = off, r.AppliedThrough, now
		s.HasFloor = s.HasFloor || l.ClaimsFloor
		t.leases[l.Resource] = s
	}
}

// leave removes a member and frees the leases that it held.
func (t *Table) leave(off platform.Offset, now time.Duration, l Leave) {
	delete(t.members, l.ID)
	for r, s := range t.leases {
		if s.Holder == l.ID {
			t.free(r, s, off, now)
		}
	}
}

func (t *Table) free(r Resource, s State, off platform.Offset, now time.Duration) {
	s.Holder, s.Address = "", ""
	s.LastOffset, s.AppliedAt = off, now
	t.leases[r] = s
}
