package gateway

import (
	"strconv"
	"time"

	"github.com/mastictray/mastictray/internal/directory"
	"github.com/mastictray/mastictray/internal/logline"
)

// versionText names the weights of a target; what it cached under others is
// does not count any more.
func versionText(versions map[string]int64) string {
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

// behind says that a target has older weights than these.
func behind(r *directory.Registration, versions map[string]int64) bool {
	for model, version := range versions {
		if v, ok := r.Versions[model]; ok && v < version {
			return true
		}
	}
	return false
}

// restAfterRefusal is how long a target that refused a request as a whole gets
// no other: it is full or about to load, and by then peers will have reported it.
const restAfterRefusal = 200 * time.Millisecond

// resting says that a target takes no requests now.
func (p *enginePool) resting(r *directory.Registration) bool {
	at, refused := p.refusedAt[r.ID]
	return p.loading[r.ID] || behind(r, p.bounds.least) || refused && p.now()-at < restAfterRefusal
}

// refused takes in that a target refused a request as a whole.
func (p *enginePool) refused(id directory.Incarnation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r, ok := p.regs[id.ID]; ok && r.Incarnation() == id {
		p.refusedAt[id.ID] = p.now()
		p.mark(id.ID, &r)
	}
}

// versionBounds are the versions of weights, by model, that bound what targets
// with older ones get.
type versionBounds struct {
	// wanted are preferred; behind least no request is sent; behind wait none
	// waits any more for its first token.
	wanted, least, wait map[string]int64
}

// setRollout takes the bounds on versions and the targets that load.
func (p *enginePool) setRollout(b versionBounds, loading map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bounds, p.loading = b, loading
	p.noteLoading()
	p.markAll()
	p.cutWaiting()
	p.moveStreams()
	p.step()
}

// cutWaiting ends the attempts that wait for their first token at targets whose
// weights are too old. Requests sent in time may wait at a target for longer
// than usual, and would begin on weights past the bound. The caller holds p.mu.
func (p *enginePool) cutWaiting() {
	for pl := range p.running {
		r, known := p.regs[pl.target.ID]
		if pl.prefilled || !known || r.Incarnation() != pl.target.Incarnation() || !behind(&r, p.bounds.wait) {
			continue
		}
		logline.Info("waiting_cut", "target", r.ID, "versions", r.Versions, "oldest", p.bounds.wait, "waited", p.now()-pl.send.SentAt)
		pl.withdrawn = true
		pl.cut()
		delete(p.running, pl)
	}
}

func (p *enginePool) markAll() {
	for id, r := range p.regs {
		p.mark(id, &r)
	}
}

func (p *enginePool) mark(id string, r *directory.Registration) {
	i, ok := p.pool.Find(id)
	if !ok {
		return
	}
	t := p.pool.Target(i)
	t.Outdated, t.Loading = behind(r, p.bounds.wanted), p.resting(r)
	p.pool.ApplyFilters(i)
}

// served takes in the version that an answer was made on: answers tell of it
// sooner than registrations do.
func (p *enginePool) served(id directory.Incarnation, model string, version int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := p.regs[id.ID]
	if !ok || r.Incarnation() != id || r.Versions[model] >= version {
		return
	}
	versions := make(map[string]int64, len(r.Versions))
	for m, v := range r.Versions {
		versions[m] = v
	}
	versions[model] = version
	r.Versions = versions
	p.regs[id.ID] = r
	if i, ok := p.pool.Find(id.ID); ok {
		t := p.pool.Target(i)
		now := identity(&r)
		t.Version = now.Version
		t.Cache = p.index.Observe(p.now(), now)
		p.mark(id.ID, &r)
	}
}

// endRests lets requests go again to targets whose rest is over.
func (p *enginePool) endRests() {
	now := p.now()
	for id, at := range p.refusedAt {
		if now-at < restAfterRefusal {
			continue
		}
		delete(p.refusedAt, id)
		if r, ok := p.regs[id]; ok {
			p.mark(id, &r)
		}
	}
}
