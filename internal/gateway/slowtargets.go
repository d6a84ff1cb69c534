package gateway

import (
	"time"

	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/slowspell"
)

// slowCheckInterval is the interval at which the targets to pass over are determined.
const slowCheckInterval = 50 * time.Millisecond

// checkGap is the time between two checks from which the process is taken to have been suspended:
// they are made at least with each exchange. What was sent before may have been answered meanwhile.
const checkGap = 3 * followInterval

// slowTargets are the targets of one service that are slow for a while.
type slowTargets struct {
	detector *slowspell.Detector
	// late are the targets that this instance has found, passedOver those that get no new work.
	late       []string
	passedOver map[string]bool
	// reports is the number of peers that report each target.
	reports   map[string]int
	checkedAt time.Duration
	// resumedAt is when the process last resumed after a suspension.
	resumedAt time.Duration
}

// waitOf describes the wait of an attempt for its first token. The caller holds s.mu.
func (s *engineService) waitOf(now time.Duration, pl *enginePlacement) slowspell.Wait {
	return slowspell.Wait{
		Target: pl.target.ID, Waited: now - pl.send.SentAt,
		Expected: pl.send.Decision.Expected + max(minFirstTokenLatency, s.serviceTimes.Latency()),
	}
}

// refreshSlowTargetsIfDue updates the placement filters with the targets that answer late. It
// acts only while targets count as unequal in capacity. The caller holds s.mu.
func (s *engineService) refreshSlowTargetsIfDue() {
	slow, now := &s.slow, s.now()
	if now-slow.checkedAt < slowCheckInterval {
		return
	}
	if now-slow.checkedAt > checkGap {
		slow.resumedAt = now
	}
	slow.checkedAt = now
	active := s.capacities.table.Spread().Unequal
	if !active && len(slow.passedOver) == 0 {
		return
	}
	before := slow.passedOver
	slow.late, slow.passedOver = nil, nil
	if active {
		slow.late = slow.detector.Late(now, s.firstTokenWaits(now))
		slow.passedOver = slow.detector.Update(now, slow.late, slow.reports, s.availableTargets())
	}
	for id := range before {
		s.setSlow(id, slow.passedOver[id])
	}
	for id := range slow.passedOver {
		s.setSlow(id, true)
	}
}

// setSlow sets whether a target is passed over as slow. The caller holds s.mu.
func (s *engineService) setSlow(id string, isSlow bool) {
	i, ok := s.pool.Find(id)
	if !ok || s.pool.Target(i).Slow == isSlow {
		return
	}
	s.pool.Target(i).Slow = isSlow
	s.pool.ApplyFilters(i)
	logline.InfoSampled("target_slow", "target", id, "slow", isSlow, "peers", s.slow.reports[id], "late_here", len(s.slow.late), "passed_over", len(s.slow.passedOver))
}

// firstTokenWaits returns the waits of the attempts without a first token, over direct
// connections, that were sent since the process last resumed. The caller holds s.mu.
func (s *engineService) firstTokenWaits(now time.Duration) []slowspell.Wait {
	var waits []slowspell.Wait
	for pl := range s.running {
		r, usable := s.registrations[pl.target.ID]
		if usable && r.Incarnation() == pl.target.Incarnation() && !pl.firstTokenSeen && pl.relay == "" && pl.send.SentAt >= s.slow.resumedAt {
			waits = append(waits, s.waitOf(now, pl))
		}
	}
	return waits
}

// availableTargets returns the number of targets that are eligible, or would be if they weren't
// slow. The caller holds s.mu.
func (s *engineService) availableTargets() int {
	n := s.pool.EligibleCount()
	for id := range s.slow.passedOver {
		if i, ok := s.pool.Find(id); ok && s.pool.RejectedOnlyAsSlow(i) {
			n++
		}
	}
	return n
}

// reportedSlowTargets returns the targets that this instance reports to its peers as slow.
func (s *engineService) reportedSlowTargets() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refreshSlowTargetsIfDue()
	return s.slow.late[:min(len(s.slow.late), slowspell.MaxReported)]
}

// setSlowReports sets the number of peers that report each target as slow.
func (s *engineService) setSlowReports(reports map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow.reports = reports
}

// slowTargetCount returns the number of targets that are passed over.
func (s *engineService) slowTargetCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.slow.passedOver)
}
