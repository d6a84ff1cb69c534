package gateway

import (
	"time"

	"github.com/mastictray/mastictray/internal/connrelay"
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

// stalledTarget is a target without progress, to be probed.
type stalledTarget struct {
	id      string
	address string
}

// stalledTargets returns the targets that have sent nothing for too long while they had requests
// to answer. Each is returned once until recordProbe is called for it.
func (s *engineService) stalledTargets() []stalledTarget {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	var stalled []stalledTarget
	for id, detector := range s.stallDetectors {
		if s.probing[id] || s.breaker(id).State() == overload.Open || !detector.Stalled(now) {
			continue
		}
		s.probing[id] = true
		stalled = append(stalled, stalledTarget{id: id, address: s.addressOf(id)})
	}
	return stalled
}

// addressOf returns the address of a target that has attempts in progress, also if it leaves. The
// caller holds s.mu.
func (s *engineService) addressOf(id string) string {
	if r, usable := s.registrations[id]; usable {
		return r.Address
	}
	for pl := range s.running {
		if pl.target.ID == id {
			return pl.target.Address
		}
	}
	return ""
}

// recordProbe records how a stalled target can be reached. A target that accepts connections is
// alive, however long it takes for a first token: if each overloaded target were avoided, the
// others would get its requests too and would be overloaded next. If it accepts them only from
// peers, the attempts over direct connections are lost, and those through instances for which
// mayRelay returns false. An unreachable one gets no requests until a probe of its breaker
// succeeds, and the attempts there that may run at other targets are cancelled.
func (s *engineService) recordProbe(target stalledTarget, path connrelay.State, mayRelay func(instance string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.probing, target.id)
	now, detector := s.now(), s.stallDetectors[target.id]
	if detector == nil || !detector.Stalled(now) {
		return // it has answered or is gone meanwhile
	}
	if path != connrelay.Unreached {
		detector.Alive(now)
		s.cancelAttempts(target.id, func(pl *enginePlacement) bool { return pl.firstTokenSeen && !pl.paused })
		s.cancelLostAttempts(target.address, func(pl *enginePlacement) bool {
			return pl.relay == "" && path == connrelay.Blocked || pl.relay != "" && !mayRelay(pl.relay)
		})
		return
	}
	s.breaker(target.id).Unreachable(now, s.rng)
	s.stalledAt[target.id] = now
	s.cancelAttempts(target.id, func(*enginePlacement) bool { return true })
	logline.Info("target_silent", "target", target.id, "address", target.address)
	s.step()
}

// cancelAttempts cancels the attempts at a target that match and may run at another one. The
// others wait, because the target may recover. The caller holds s.mu.
func (s *engineService) cancelAttempts(id string, match func(*enginePlacement) bool) {
	for pl := range s.running {
		if pl.target.ID == id && s.mayRunElsewhere(pl) && match(pl) {
			pl.cancel()
		}
	}
}

// cancelSilentAttempts cancels the attempts over direct connections to an address, whose path is
// blocked, from which nothing arrives.
func (s *engineService) cancelSilentAttempts(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.cancelLostAttempts(address, func(pl *enginePlacement) bool {
		return pl.relay == "" && !pl.paused && now-pl.progressAt > silentAttemptTimeout
	})
}

// cancelLostAttempts cancels the attempts at an address that match, because of the path, and may
// run again. The caller holds s.mu.
func (s *engineService) cancelLostAttempts(address string, match func(*enginePlacement) bool) {
	for pl := range s.running {
		if pl.target.Address == address && s.mayRunElsewhere(pl) && match(pl) {
			pl.cancelledHere = true
			pl.cancel()
		}
	}
}

// runningAddresses returns the addresses of the targets at which attempts run.
func (s *engineService) runningAddresses() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var addresses []string
	for pl := range s.running {
		addresses = append(addresses, pl.target.Address)
	}
	return addresses
}

// startAttempt records that an attempt has been sent. cancel is called if its target
// stalls, is about to load new weights, or keeps the attempt waiting until its weights are
// too old.
func (s *engineService) startAttempt(pl *enginePlacement, cancel func(), policy cancelPolicy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	pl.cancel, pl.cancelPolicy = cancel, policy
	pl.progressAt = s.now()
	pl.stallID = s.stallDetector(pl.target.ID).Begin(pl.progressAt)
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

// cancelInDomain cancels the attempts at targets of an unreachable domain that may run elsewhere.
func (s *engineService) cancelInDomain(domain string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for pl := range s.running {
		if pl.target.Domain == domain && s.mayRunElsewhere(pl) {
			pl.cancelledHere = true
			pl.cancel()
		}
	}
}

// recordProgress records that a part of an attempt's response has arrived.
func (s *engineService) recordProgress(pl *enginePlacement) {
	s.reach.reached(pl.target.Domain)
	s.mu.Lock()
	defer s.mu.Unlock()
	pl.progressAt = s.now()
	if pl.firstEventAt == 0 {
		pl.firstEventAt = pl.progressAt
	} else {
		pl.laterEvents++
	}
	s.stallDetector(pl.target.ID).Progress(pl.progressAt, pl.stallID)
}

// recordPause records that the response of an attempt is not read for a while because its caller
// takes nothing, or that reading goes on. The target is not expected to send anything meanwhile.
func (s *engineService) recordPause(pl *enginePlacement, paused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	detector := s.stallDetector(pl.target.ID)
	pl.paused = paused
	if paused {
		pl.wasPaused = true
		detector.End(pl.stallID)
		return
	}
	pl.progressAt = s.now()
	pl.stallID = detector.Begin(pl.progressAt)
}
