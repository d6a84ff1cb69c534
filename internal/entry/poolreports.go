package entry

import (
	"maps"
	"slices"
	"time"

	"github.com/mastictray/mastictray/internal/cacheindex"
	"github.com/mastictray/mastictray/internal/placement"
)

// setDraining marks the targets that are leaving according to the instance
// list.
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

// cacheIdentity returns the current identity of the i-th target. p.mu must be
// held.
func (p *enginePool) cacheIdentity(i int) cacheindex.Identity {
	t := p.pool.Target(i)
	return cacheindex.Identity{Target: t.Name, Incarnation: t.Incarnation, Version: t.Version}
}

// loadReport is a target's response to a load query.
type loadReport struct {
	Incarnation         string  `json:"incarnation"`
	Version             string  `json:"version"`
	Software            string  `json:"software"`
	QueuedPrefillTokens float64 `json:"queued_prefill_tokens"`
	AsOfMS              int64   `json:"as_of_ms"`
}

// applyLoadReport applies a target's load report. queriedAt is when the query
// was sent, asOf when the report was made.
func (p *enginePool) applyLoadReport(name string, queriedAt, asOf time.Duration, r loadReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	i, ok := p.pool.Find(name)
	if !ok {
		return
	}
	t := p.pool.Target(i)
	p.announcements.observeIncarnation(p.addresses[name], r.Incarnation)
	restarted := t.Incarnation != "" && t.Incarnation != r.Incarnation
	t.Cache = p.cacheIndex.Observe(queriedAt, cacheindex.Identity{Target: name, Incarnation: r.Incarnation, Version: r.Version})
	if t.Incarnation != r.Incarnation || t.Version != r.Version {
		if t.Incarnation != "" {
			p.slowStartSince[name] = queriedAt
		}
		t.Load.Reset(asOf)
		t.Incarnation, t.Version = r.Incarnation, r.Version
		p.pool.ApplyFilters(i)
		p.updateActiveVersion()
	}
	if since, ok := p.slowStartSince[name]; ok {
		t.SlowStartFactor = placement.SlowStartFactor(queriedAt - since)
	}
	t.Software = r.Software
	t.Load.Report(asOf, r.QueuedPrefillTokens)
	p.markResponsiveLocked(name, restarted)
}

// markUnresponsive records that a target does not answer load queries. It
// receives no new work except probes, and responses still expected from it are
// cancelled.
func (p *enginePool) markUnresponsive(name string) {
	p.mu.Lock()
	p.markUnresponsiveLocked(name)
	callbacks := slices.Collect(maps.Values(p.unresponsiveCallbacks[name]))
	p.mu.Unlock()
	for _, callback := range callbacks {
		callback()
	}
}

// cancelResponses cancels the responses that are expected from the target at an address. The
// target itself stays in use.
func (p *enginePool) cancelResponses(address string) {
	p.mu.Lock()
	var callbacks []func()
	for name, a := range p.addresses {
		if a == address {
			callbacks = append(callbacks, slices.Collect(maps.Values(p.unresponsiveCallbacks[name]))...)
		}
	}
	p.mu.Unlock()
	for _, callback := range callbacks {
		callback()
	}
}

// onUnresponsive registers a callback that is called when the target stops
// answering load queries, until stop is called.
func (p *enginePool) onUnresponsive(name string, callback func()) (stop func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.nextID++
	id := p.nextID
	if p.unresponsiveCallbacks[name] == nil {
		p.unresponsiveCallbacks[name] = make(map[uint64]func())
	}
	p.unresponsiveCallbacks[name][id] = callback
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.unresponsiveCallbacks[name], id)
	}
}
