package gateway

import (
	"strconv"
	"time"

	"github.com/mastictray/mastictray/internal/directory"
	"github.com/mastictray/mastictray/internal/logline"
)

// versionKey returns a string that identifies a target's weights versions. What the target
// has cached under another key no longer counts.
func versionKey(versions map[string]int64) string {
	switch len(versions) {
	case 0:
		return ""
	case 1:
		for _, v := range versions {
			return strconv.FormatInt(v, 10)
		}
	}
	sum := int64(0)
	for _, v := range versions {
		sum = sum*31 + v
	}
	return strconv.FormatInt(sum, 10)
}

// hasOlderWeights reports whether a target has weights older than any of these versions.
func hasOlderWeights(r *directory.Registration, versions map[string]int64) bool {
	for model, version := range versions {
		if v, ok := r.Versions[model]; ok && v < version {
			return true
		}
	}
	return false
}

// refusalBackoff is how long a target gets no requests after it refused one as a whole, if it
// asks for no longer pause. It is full or about to load weights; a load will have been reported
// by peers within that time.
const refusalBackoff = 200 * time.Millisecond

// isExcluded reports whether a target must not get requests now. The caller holds s.mu.
func (s *engineService) isExcluded(r *directory.Registration) bool {
	now, id := s.now(), r.Incarnation()
	return s.loading[r.ID] || hasOlderWeights(r, s.bounds.minToSend) || s.pauses.Left(now, id) > 0 || s.backoffs.Left(now, id) > 0
}

// recordRefusal records that a target refused a request as a whole, and the pause that it
// asked for; 0 for none.
func (s *engineService) recordRefusal(id directory.Incarnation, pause time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.backoffs.Pause(now, id, refusalBackoff)
	s.pauses.Pause(now, id, pause)
	if r, ok := s.registrations[id.ID]; ok {
		s.refreshFilters(id.ID, &r)
	}
}

// versionBounds are the weights versions, by model, that restrict the use of targets with
// older ones.
type versionBounds struct {
	// newest are the newest named versions.
	newest map[string]int64
	// Placement prefers targets that have at least the versions in preferred. No request is
	// sent to a target with older versions than minToSend, and none keeps waiting for its
	// first token at a target with older versions than minToWait.
	preferred, minToSend, minToWait map[string]int64
}

// applyRollout sets the version bounds and the targets that load weights, and ends the
// attempts that must not go on because of them.
func (s *engineService) applyRollout(b versionBounds, loading map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bounds, s.loading = b, loading
	s.trackLoading()
	s.refreshAllFilters()
	s.cancelOutdatedWaits()
	s.moveStreams()
	s.step()
}

// cancelOutdatedWaits cancels the attempts that wait for their first token at targets whose
// weights are too old. A request that was sent in time may wait at its target for longer
// than usual, and would then start on weights past the bound. The caller holds s.mu.
func (s *engineService) cancelOutdatedWaits() {
	for pl := range s.running {
		r, usable := s.registrations[pl.target.ID]
		if !usable {
			r = pl.target // it leaves; this is what was known of it last
		}
		if pl.firstTokenSeen || r.Incarnation() != pl.target.Incarnation() || !hasOlderWeights(&r, s.bounds.minToWait) {
			continue
		}
		logline.Info("waiting_cut", "target", r.ID, "versions", r.Versions, "oldest", s.bounds.minToWait, "waited", s.now()-pl.send.SentAt)
		pl.cancelledHere = true
		pl.cancel()
		delete(s.running, pl)
	}
}

// refreshAllFilters calls refreshFilters for every target. The caller holds s.mu.
func (s *engineService) refreshAllFilters() {
	for id, r := range s.registrations {
		s.refreshFilters(id, &r)
	}
}

// refreshFilters updates what the placement filters know of a target's weights and load
// state. The caller holds s.mu.
func (s *engineService) refreshFilters(id string, r *directory.Registration) {
	i, ok := s.pool.Find(id)
	if !ok {
		return
	}
	t := s.pool.Target(i)
	t.Outdated, t.Loading = hasOlderWeights(r, s.bounds.preferred), s.isExcluded(r)
	s.pool.ApplyFilters(i)
}

// recordServedVersion records the weights version that a response was made with. Responses
// report a new version earlier than registrations do.
func (s *engineService) recordServedVersion(id directory.Incarnation, model string, version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.registrations[id.ID]
	if !ok || r.Incarnation() != id || r.Versions[model] >= version {
		return
	}
	versions := make(map[string]int64, len(r.Versions))
	for m, v := range r.Versions {
		versions[m] = v
	}
	versions[model] = version
	r.Versions = versions
	s.registrations[id.ID] = r
	if i, ok := s.pool.Find(id.ID); ok {
		t := s.pool.Target(i)
		identity := cacheIdentity(&r)
		t.Version = identity.Version
		t.Cache = s.index.Observe(s.now(), identity)
		s.refreshFilters(id.ID, &r)
	}
}

// expirePauses makes targets available again whose pause or back-off has ended. The caller
// holds s.mu.
func (s *engineService) expirePauses() {
	now := s.now()
	for _, id := range append(s.pauses.Expire(now), s.backoffs.Expire(now)...) {
		if r, ok := s.registrations[id.ID]; ok {
			s.refreshFilters(id.ID, &r)
		}
	}
}

// pauseLeft returns the time until the first target may get requests again if all of them have
// asked for a pause, else 0.
func (s *engineService) pauseLeft() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	targets := make([]directory.Incarnation, 0, len(s.registrations))
	for _, r := range s.registrations {
		targets = append(targets, r.Incarnation())
	}
	return s.pauses.ShortestLeft(s.now(), targets)
}
