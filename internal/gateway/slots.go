package gateway

import "time"

// slotTimeWeight is the weight of one request in the mean time for which requests keep a slot.
const slotTimeWeight = 0.02

// observeSlotTime records how long an answered request has kept its slot. The caller holds
// s.mu.
func (s *engineService) observeSlotTime(pl *enginePlacement) {
	kept := s.now() - pl.send.SentAt
	if s.slotTime == 0 {
		s.slotTime = kept
	}
	s.slotTime += time.Duration(slotTimeWeight * float64(kept-s.slotTime))
}
