package gateway

import (
	"time"

	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/overload"
)

const (
	// stallReportPeriod is how long peers get a report of a target's silence.
	stallReportPeriod = 2 * time.Second
	// ownAnswerValidity is how long an own answer of a target outweighs the reports of peers.
	ownAnswerValidity = time.Second
)

// recentlyStalled lists the targets found recentlyStalled a short while ago.
func (p *enginePool) recentlyStalled() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var ids []string
	for id, at := range p.stalledAt {
		if p.now()-at > stallReportPeriod {
			delete(p.stalledAt, id)
		} else {
			ids = append(ids, id)
		}
	}
	return ids
}

// openBreakers are the targets that answer this instance nothing.
func (p *enginePool) openBreakers() map[string]bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	ids := map[string]bool{}
	for id, b := range p.breakers {
		if b.State() == overload.Open {
			ids[id] = true
		}
	}
	return ids
}

// suspectStalled stops sending to targets that several peers have found silent,
// unless one has answered here lately: this instance may reach what they do
// not. A probe tells soon.
func (p *enginePool) suspectStalled(ids []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	for _, id := range ids {
		r, known := p.registrations[id]
		b := p.breaker(id)
		if !known || b.State() == overload.Open || p.stallDetector(id).AnsweredSince(now-ownAnswerValidity) {
			continue
		}
		b.Unreachable(now, p.rng)
		logline.Info("target_suspected", "target", id, "address", r.Address, "domain", r.Domain)
	}
	p.step()
}

// checkStalled stops sending to targets that fell silent, and ends the
// attempts there that may go on elsewhere. It gives the targets' addresses.
func (p *enginePool) checkStalled() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	var gone []string
	for id, s := range p.stallDetectors {
		b := p.breaker(id)
		if b.State() == overload.Open || !s.Stalled(now) {
			continue
		}
		b.Unreachable(now, p.rng)
		gone = append(gone, p.registrations[id].Address)
		p.stalledAt[id] = now
		logline.Info("target_silent", "target", id, "address", p.registrations[id].Address, "domain", p.registrations[id].Domain)
		for pl := range p.running {
			// What may not be repeated waits: the target may come back.
			if pl.target.ID == id && pl.repeatable {
				pl.cancel()
			}
		}
	}
	p.step()
	return gone
}

// startAttempt notes that an attempt is on its way. Should its target fall silent, load
// new weights, or keep it waiting until its weights are too old, cut is called.
func (p *enginePool) startAttempt(pl *enginePlacement, cut func(), m cancelPolicy) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pl.cancel, pl.cancelPolicy = cut, m
	pl.stallID = p.stallDetector(pl.target.ID).Begin(p.now())
	p.running[pl] = struct{}{}
}

func (p *enginePool) stallDetector(id string) *overload.StallDetector {
	s := p.stallDetectors[id]
	if s == nil {
		s = &overload.StallDetector{}
		p.stallDetectors[id] = s
	}
	return s
}

// recordProgress notes that something of an attempt's answer came.
func (p *enginePool) recordProgress(pl *enginePlacement) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stallDetector(pl.target.ID).Progress(p.now(), pl.stallID)
}
