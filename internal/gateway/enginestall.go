package gateway

import (
	"time"

	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/overload"
)

const (
	// stallReportPeriod is how long a stalled target is reported to peers.
	stallReportPeriod = 2 * time.Second
	// ownAnswerValidity is how long a response to this instance outweighs peers' reports
	// that its target has stalled.
	ownAnswerValidity = time.Second
)

// recentlyStalled returns the targets found to have stalled within stallReportPeriod.
func (s *engineService) recentlyStalled() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ids []string
	for id, at := range s.stalledAt {
		if s.now()-at > stallReportPeriod {
			delete(s.stalledAt, id)
		} else {
			ids = append(ids, id)
		}
	}
	return ids
}

// openBreakers returns the targets whose breakers are open at this instance.
func (s *engineService) openBreakers() map[string]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := map[string]bool{}
	for id, b := range s.breakers {
		if b.State() == overload.Open {
			ids[id] = true
		}
	}
	return ids
}

// suspectStalled stops sending to targets that several peers have found to have stalled,
// unless one has responded to this instance recently: this instance may reach targets that
// the peers do not. A probe by the breaker soon shows whether a target responds.
func (s *engineService) suspectStalled(ids []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for _, id := range ids {
		r, known := s.registrations[id]
		b := s.breaker(id)
		if !known || b.State() == overload.Open || s.stallDetector(id).AnsweredSince(now-ownAnswerValidity) {
			continue
		}
		b.Unreachable(now, s.rng)
		logline.Info("target_suspected", "target", id, "address", r.Address, "domain", r.Domain)
	}
	s.step()
}

// checkStalled stops sending to targets that have stalled and cancels the attempts there
// that may run at other targets. It returns the addresses of the stalled targets.
func (s *engineService) checkStalled() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	var stalled []string
	for id, detector := range s.stallDetectors {
		b := s.breaker(id)
		if b.State() == overload.Open || !detector.Stalled(now) {
			continue
		}
		b.Unreachable(now, s.rng)
		s.stalledAt[id] = now
		r, usable := s.registrations[id]
		for pl := range s.running {
			if pl.target.ID != id {
				continue
			}
			if !usable {
				r = pl.target // it leaves, with attempts in progress
			}
			// Attempts that must not be repeated wait, because the target may recover.
			if pl.repeatable {
				pl.cancel()
			}
		}
		stalled = append(stalled, r.Address)
		logline.Info("target_silent", "target", id, "address", r.Address, "domain", r.Domain)
	}
	s.step()
	return stalled
}

// startAttempt records that an attempt has been sent. cancel is called if its target
// stalls, is about to load new weights, or keeps the attempt waiting until its weights are
// too old.
func (s *engineService) startAttempt(pl *enginePlacement, cancel func(), policy cancelPolicy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	pl.cancel, pl.cancelPolicy = cancel, policy
	pl.stallID = s.stallDetector(pl.target.ID).Begin(s.now())
	s.running[pl] = struct{}{}
}

// stallDetector returns the stall detector of a target. The caller holds s.mu.
func (s *engineService) stallDetector(id string) *overload.StallDetector {
	detector := s.stallDetectors[id]
	if detector == nil {
		detector = &overload.StallDetector{}
		s.stallDetectors[id] = detector
	}
	return detector
}

// recordProgress records that a part of an attempt's response has arrived.
func (s *engineService) recordProgress(pl *enginePlacement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stallDetector(pl.target.ID).Progress(s.now(), pl.stallID)
}
