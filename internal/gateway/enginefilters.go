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

// refusalBackoff is how long a target gets no requests after it refused one as a whole. It
// is full or about to load weights; a load will have been reported by peers within that
// time.
const refusalBackoff = 200 * time.Millisecond

// isExcluded reports whether a target must not get requests now. The caller holds p.mu.
func (p *enginePool) isExcluded(r *directory.Registration) bool {
	at, refused := p.refusedAt[r.ID]
	return p.loading[r.ID] || hasOlderWeights(r, p.bounds.minToSend) || refused && p.now()-at < refusalBackoff
}

// recordRefusal records that a target refused a request as a whole.
func (p *enginePool) recordRefusal(id directory.Incarnation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r, ok := p.registrations[id.ID]; ok && r.Incarnation() == id {
		p.refusedAt[id.ID] = p.now()
		p.refreshFilters(id.ID, &r)
	}
}

// versionBounds are the weights versions, by model, that restrict the use of targets with
// older ones.
type versionBounds struct {
	// Placement prefers targets that have at least the versions in preferred. No request is
	// sent to a target with older versions than minToSend, and none keeps waiting for its
	// first token at a target with older versions than minToWait.
	preferred, minToSend, minToWait map[string]int64
}

// applyRollout sets the version bounds and the targets that load weights, and ends the
// attempts that must not go on because of them.
func (p *enginePool) applyRollout(b versionBounds, loading map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bounds, p.loading = b, loading
	p.trackLoading()
	p.refreshAllFilters()
	p.cancelOutdatedWaits()
	p.moveStreams()
	p.step()
}

// cancelOutdatedWaits cancels the attempts that wait for their first token at targets whose
// weights are too old. A request that was sent in time may wait at its target for longer
// than usual, and would then start on weights past the bound. The caller holds p.mu.
func (p *enginePool) cancelOutdatedWaits() {
	for pl := range p.running {
		r, known := p.registrations[pl.target.ID]
		if pl.firstTokenSeen || !known || r.Incarnation() != pl.target.Incarnation() || !hasOlderWeights(&r, p.bounds.minToWait) {
			continue
		}
		logline.Info("waiting_cut", "target", r.ID, "versions", r.Versions, "oldest", p.bounds.minToWait, "waited", p.now()-pl.send.SentAt)
		pl.cancelledHere = true
		pl.cancel()
		delete(p.running, pl)
	}
}

// refreshAllFilters calls refreshFilters for every target. The caller holds p.mu.
func (p *enginePool) refreshAllFilters() {
	for id, r := range p.registrations {
		p.refreshFilters(id, &r)
	}
}

// refreshFilters updates what the placement filters know of a target's weights and load
// state. The caller holds p.mu.
func (p *enginePool) refreshFilters(id string, r *directory.Registration) {
	i, ok := p.pool.Find(id)
	if !ok {
		return
	}
	t := p.pool.Target(i)
	t.Outdated, t.Loading = hasOlderWeights(r, p.bounds.preferred), p.isExcluded(r)
	p.pool.ApplyFilters(i)
}

// recordServedVersion records the weights version that a response was made with. Responses
// report a new version earlier than registrations do.
func (p *enginePool) recordServedVersion(id directory.Incarnation, model string, version int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := p.registrations[id.ID]
	if !ok || r.Incarnation() != id || r.Versions[model] >= version {
		return
	}
	versions := make(map[string]int64, len(r.Versions))
	for m, v := range r.Versions {
		versions[m] = v
	}
	versions[model] = version
	r.Versions = versions
	p.registrations[id.ID] = r
	if i, ok := p.pool.Find(id.ID); ok {
		t := p.pool.Target(i)
		identity := cacheIdentity(&r)
		t.Version = identity.Version
		t.Cache = p.index.Observe(p.now(), identity)
		p.refreshFilters(id.ID, &r)
	}
}

// expireRefusalBackoffs makes targets available again whose refusalBackoff has passed. The
// caller holds p.mu.
func (p *enginePool) expireRefusalBackoffs() {
	now := p.now()
	for id, at := range p.refusedAt {
		if now-at < refusalBackoff {
			continue
		}
		delete(p.refusedAt, id)
		if r, ok := p.registrations[id]; ok {
			p.refreshFilters(id, &r)
		}
	}
}
