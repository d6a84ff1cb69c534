package lease

import "time"

// yields returns records that release floors which this instance, or a dead
// incarnation at its address, kept when others took the leases over. Without
// them, the part of every rate that belongs to the floor of a holder suspended
// past its lease would stay unused until the hold time has passed.
//
// Releasing the floor is safe because it is not in use here: the table has
// shown that the lease is lost, and that ended every grant of this instance for
// it.
func (h *Holder) yields(now time.Duration) []Record {
	if now-h.yieldSentAt < h.settings.RenewInterval {
		return nil
	}
	var list []Record
	for _, r := range h.settings.Wanted {
		s, ok := h.table.State(r)
		if !ok || s.HasFloor || !h.table.speaksForFloorOwner(s, h.settings.Self.ID) || h.usesFloor(r) {
			continue
		}
		h.seq++
		body := Yield{Resource: r, Owner: s.FloorOwner, Writer: h.settings.Self.ID}
		list = append(list, Record{Kind: KindYield, Body: body, Seq: h.seq})
	}
	if len(list) > 0 {
		h.yieldSentAt = now
	}
	return list
}

// usesFloor reports whether a grant of the floor may still be in use here.
func (h *Holder) usesFloor(r Resource) bool {
	l := h.held[r]
	return l != nil && l.hasFloor
}

// yield gives the floor to the current holder.
func (t *Table) yield(y Yield) {
	s, ok := t.leases[y.Resource]
	if !ok || s.HasFloor || s.FloorOwner != y.Owner || !t.speaksForFloorOwner(s, y.Writer) {
		return
	}
	s.HasFloor, s.FloorOwner, s.FloorAddress = true, "", ""
	t.leases[y.Resource] = s
}

// speaksForFloorOwner reports whether a member may release a floor: it is the
// floor's owner, or a later incarnation at the owner's address.
func (t *Table) speaksForFloorOwner(s State, writer string) bool {
	m, joined := t.members[writer]
	if !joined || s.FloorOwner == "" {
		return false
	}
	if writer == s.FloorOwner {
		return true
	}
	owner, known := t.members[s.FloorOwner]
	return m.member.Address == s.FloorAddress && (!known || owner.joinedAt < m.joinedAt)
}
