package gateway

import (
	"strconv"
	"time"

	"github.com/mastictray/mastictray/internal/directory"
	"github.com/mastictray/mastictray/internal/logline"
)

// versionKey names the weights of a target; what it cached under others is
// does not count any more.
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

// hasOlderWeights says that a target has older weights than these.
func hasOlderWeights(r *directory.Registration, versions map[string]int64) bool {
	for model, version := range versions {
		if v, ok := r.Versions[model]; ok && v < version {
			return true
		}
	}
	return false
}

// refusalBackoff is how long a target that refused a request as a whole gets
// no other: it is full or about to load, and by then peers will have reported it.
const refusalBackoff = 200 * time.Millisecond

// isExcluded says that a target takes no requests now.
func (p *enginePool) isExcluded(r *directory.Registration) bool {
	at, refused := p.refusedAt[r.ID]
	return p.loading[r.ID] || hasOlderWeights(r, p.bounds.minToSend) || refused && p.now()-at < refusalBackoff
}

// recordRefusal takes in that a target recordRefusal a request as a whole.
func (p *enginePool) recordRefusal(id directory.Incarnation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r, ok := p.registrations[id.ID]; ok && r.Incarnation() == id {
		p.refusedAt[id.ID] = p.now()
		p.refreshFilters(id.ID, &r)
	}
}

// versionBounds are the versions of weights, by model, that bound what targets
// with older ones get.
type versionBounds struct {
	// preferred are preferred; behind minToSend no request is sent; behind minToWait none
	// waits any more for its first token.
	preferred, minToSend, minToWait map[string]int64
}

// applyRollout takes the bounds on versions and the targets that load.
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

// cancelOutdatedWaits ends the attempts that wait for their first token at targets whose
// weights are too old. Requests sent in time may wait at a target for longer
// than usual, and would begin on weights past the bound. The caller holds p.mu.
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

func (p *enginePool) refreshAllFilters() {
	for id, r := range p.registrations {
		p.refreshFilters(id, &r)
	}
}

func (p *enginePool) refreshFilters(id string, r *directory.Registration) {
	i, ok := p.pool.Find(id)
	if !ok {
		return
	}
	t := p.pool.Target(i)
	t.Outdated, t.Loading = hasOlderWeights(r, p.bounds.preferred), p.isExcluded(r)
	p.pool.ApplyFilters(i)
}

// recordServedVersion takes in the version that an answer was made on: answers tell of it
// sooner than registrations do.
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
		now := cacheIdentity(&r)
		t.Version = now.Version
		t.Cache = p.index.Observe(p.now(), now)
		p.refreshFilters(id.ID, &r)
	}
}

// expireRefusalBackoffs lets requests go again to targets whose rest is over.
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
