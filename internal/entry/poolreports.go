package entry

import (
	"time"

	"github.com/mastictray/mastictray/internal/cacheindex"
	"github.com/mastictray/mastictray/internal/placement"
)

// setDraining marks the targets that the instance list shows leaving.
func (p *enginePool) setDraining(leaving func(name string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pool == nil {
		return
	}
	for i := range p.pool.Len() {
		t := p.pool.Target(i)
		if drain := leaving(t.Name); drain != t.Draining {
			t.Draining = drain
			p.pool.ApplyFilters(i)
		}
	}
	p.updateActiveVersion()
}

// identity is what the i-th target is now. Callers hold mu.
func (p *enginePool) cacheIdentity(i int) cacheindex.Identity {
	t := p.pool.Target(i)
	return cacheindex.Identity{Target: t.Name, Incarnation: t.Incarnation, Version: t.Version}
}

// loadReport is a target's answer to a load question.
type loadReport struct {
	Incarnation         string  `json:"incarnation"`
	Version             string  `json:"version"`
	QueuedPrefillTokens float64 `json:"queued_prefill_tokens"`
	AsOfMS              int64   `json:"as_of_ms"`
}

// observe takes a load report in. asked is when the question was sent, asOf
// when the report was true.
func (p *enginePool) applyLoadReport(name string, asked, asOf time.Duration, r loadReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	i, ok := p.pool.Find(name)
	if !ok {
		return
	}
	t := p.pool.Target(i)
	back := t.Incarnation != "" && t.Incarnation != r.Incarnation
	t.Cache = p.cacheIndex.Observe(asked, cacheindex.Identity{Target: name, Incarnation: r.Incarnation, Version: r.Version})
	if t.Incarnation != r.Incarnation || t.Version != r.Version {
		if t.Incarnation != "" {
			p.restartedAt[name] = asked
		}
		t.Load.Reset(asOf)
		t.Incarnation, t.Version = r.Incarnation, r.Version
		p.pool.ApplyFilters(i)
		p.updateActiveVersion()
	}
	if at, ok := p.restartedAt[name]; ok {
		t.SlowStartFactor = placement.SlowStartFactor(asked - at)
	}
	t.Load.Report(asOf, r.QueuedPrefillTokens)
	p.markResponsiveLocked(name, back)
}

// unanswered takes in that a target answers no load questions: it gets no new
// work, and the answers that it still owes are given up.
func (p *enginePool) markUnresponsive(name string) {
	p.mu.Lock()
	p.markUnresponsiveLocked(name)
	list := make([]func(), 0, len(p.unresponsiveCallbacks[name]))
	for _, down := range p.unresponsiveCallbacks[name] {
		list = append(list, down)
	}
	p.mu.Unlock()
	for _, down := range list {
		down()
	}
}

// watch calls down when the target is found to answer no questions, until stop
// is called.
func (p *enginePool) onUnresponsive(name string, down func()) (stop func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.nextID++
	id := p.nextID
	if p.unresponsiveCallbacks[name] == nil {
		p.unresponsiveCallbacks[name] = make(map[uint64]func())
	}
	p.unresponsiveCallbacks[name][id] = down
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.unresponsiveCallbacks[name], id)
	}
}
