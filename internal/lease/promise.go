package lease

import (
	"time"

	"github.com/mastictray/mastictray/internal/platform"
	"github.com/mastictray/mastictray/internal/wire"
)

// HandleAsk promises not to append an acquire for the named leases for a
// while. It promises nothing where an own acquire may still take effect, or
// where the log shows another holder: the asker's right is over there.
func (h *Holder) HandleAsk(now time.Duration, ask wire.LeasePromiseRequest) wire.LeasePromiseResponse {
	answer := wire.LeasePromiseResponse{Promiser: h.settings.Self.ID, Address: h.settings.Self.Address}
	span := min(time.Duration(ask.DurationMillis)*time.Millisecond, h.settings.PromiseFor)
	for _, l := range ask.Leases {
		r := Resource(l.Resource)
		s, known := h.fold.State(r)
		if known && (s.Holder != ask.Holder || s.Token != platform.Offset(l.Token)) {
			continue
		}
		if _, open := h.acquires[r]; open {
			continue
		}
		h.promised[r] = max(h.promised[r], now+h.settings.wait(span))
		answer.Leases = append(answer.Leases, l)
	}
	return answer
}

// HandleAnswer counts a promise, from before it was asked for. An answer of a
// newer incarnation at the member's address counts for the member: an address
// belongs to one process at a time, so the member itself is dead.
func (h *Holder) HandleAnswer(id uint64, a wire.LeasePromiseResponse) {
	p, ok := h.asks[id]
	delete(h.asks, id)
	if !ok || (a.Promiser != p.member.ID && a.Address != p.member.Address) {
		return
	}
	for _, l := range a.Leases {
		mine := h.held[Resource(l.Resource)]
		if mine != nil && mine.token == platform.Offset(l.Token) {
			mine.promises[p.member.ID] = p.askedAt + h.settings.use(h.settings.PromiseFor)
		}
	}
}
