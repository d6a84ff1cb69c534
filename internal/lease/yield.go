package lease

import "time"

// yields gives up the floors that this instance, or a dead incarnation at its
// address, kept of leases that others have taken over. A holder that was paused
// past its lease would otherwise take a part of every rate along, used by
// nobody, until the hold time is over.
//
// It is safe because the floor is not in use here: the fold has shown the loss
// of the lease, and with it ended every grant of this instance on it.
func (h *Holder) yields(now time.Duration) []Record {
	if now-h.yieldAt < h.settings.RenewInterval {
		return nil
	}
	var list []Record
	for _, r := range h.settings.Wanted {
		s, ok := h.fold.State(r)
		if !ok || s.HasFloor || !h.fold.mayYield(s, h.settings.Self.ID) || h.usesFloor(r) {
			continue
		}
		h.seq++
		body := Yield{Resource: r, Owner: s.FloorOwner, Writer: h.settings.Self.ID}
		list = append(list, Record{Kind: KindYield, Body: body, Seq: h.seq})
	}
	if len(list) > 0 {
		h.yieldAt = now
	}
	return list
}

// usesFloor reports that a grant of the floor may be in force here.
func (h *Holder) usesFloor(r Resource) bool {
	l := h.held[r]
	return l != nil && l.floor
}

// yield gives the floor to the present holder.
func (f *Table) yield(y Yield) {
	s, ok := f.states[y.Resource]
	if !ok || s.HasFloor || s.FloorOwner != y.Owner || !f.mayYield(s, y.Writer) {
		return
	}
	s.HasFloor, s.FloorOwner, s.FloorAddress = true, "", ""
	f.states[y.Resource] = s
}

// mayYield reports that a member speaks for the owner of a floor: it is the
// owner, or a later incarnation at the owner's address.
func (f *Table) mayYield(s State, by string) bool {
	m, joined := f.members[by]
	if !joined || s.FloorOwner == "" {
		return false
	}
	if by == s.FloorOwner {
		return true
	}
	owner, known := f.members[s.FloorOwner]
	return m.member.Address == s.FloorAddress && (!known || owner.at < m.at)
}
