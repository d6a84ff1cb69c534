package lease

import (
	"time"

	"github.com/mastictray/mastictray/internal/platform"
	"github.com/mastictray/mastictray/internal/wire"
)

// HandlePromiseRequest promises not to append an acquire of the named leases
// for a while. It leaves out a lease for which an own acquire may still take
// effect, or for which the log shows another holder or token: there the
// requester's lease has ended.
func (h *Holder) HandlePromiseRequest(now time.Duration, req wire.LeasePromiseRequest) wire.LeasePromiseResponse {
	answer := wire.LeasePromiseResponse{Promiser: h.settings.Self.ID, Address: h.settings.Self.Address}
	duration := min(time.Duration(req.DurationMillis)*time.Millisecond, h.settings.PromiseTime)
	for _, l := range req.Leases {
		r := Resource(l.Resource)
		s, known := h.table.State(r)
		if known && (s.Holder != req.Holder || s.Token != platform.Offset(l.Token)) {
			continue
		}
		if _, pending := h.pendingAcquires[r]; pending {
			continue
		}
		h.promisedUntil[r] = max(h.promisedUntil[r], now+h.settings.waitTime(duration))
		answer.Leases = append(answer.Leases, l)
	}
	return answer
}

// HandlePromiseAnswer records the promises in an answer. Each is counted from
// before its request was sent. The answer of a newer incarnation at the
// member's address counts for the member too: an address belongs to one process
// at a time, so the member itself is dead.
func (h *Holder) HandlePromiseAnswer(id uint64, a wire.LeasePromiseResponse) {
	p, ok := h.pendingRequests[id]
	delete(h.pendingRequests, id)
	if !ok || (a.Promiser != p.member.ID && a.Address != p.member.Address) {
		return
	}
	for _, l := range a.Leases {
		held := h.held[Resource(l.Resource)]
		if held != nil && held.token == platform.Offset(l.Token) {
			held.promises[p.member.ID] = p.sentAt + h.settings.usableTime(h.settings.PromiseTime)
		}
	}
}
