package placement

import "time"

// slotScorer adds the expected wait for a slot at a target with shared slots. Requests that
// other instances have sent since their last reports are not known yet, so the wait counts
// from a margin below the number of slots.
type slotScorer struct {
	slotTime func() time.Duration
}

func (slotScorer) Name() string { return "slots" }

func (s slotScorer) Cost(_ time.Duration, _ *Request, t *Target, _ *Candidate) time.Duration {
	if t.SharedSlots == 0 || s.slotTime == nil {
		return 0
	}
	slots := float64(t.SharedSlots)
	beyond := float64(t.InFlight+t.PeersInFlight+1) - (1-unseenSlotFraction)*slots
	if beyond <= 0 {
		return 0
	}
	return time.Duration(beyond / slots * float64(s.slotTime()))
}

// unseenSlotFraction is the margin as a fraction of the slots.
const unseenSlotFraction = 0.25
