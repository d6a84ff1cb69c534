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

// openBreakers returns the targets whose breakers are open at this instance.
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

// suspectStalled stops sending to targets that several peers have found to have stalled,
// unless one has responded to this instance recently: this instance may reach targets that
// the peers do not. A probe by the breaker soon shows whether a target responds.
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

// checkStalled stops sending to targets that have stalled and cancels the attempts there
// that may run at other targets. It returns the addresses of the stalled targets.
func (p *enginePool) checkStalled() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	var stalled []string
	for id, s := range p.stallDetectors {
		b := p.breaker(id)
		if b.State() == overload.Open || !s.Stalled(now) {
			continue
		}
		b.Unreachable(now, p.rng)
		stalled = append(stalled, p.registrations[id].Address)
		p.stalledAt[id] = now
		logline.Info("target_silent", "target", id, "address", p.registrations[id].Address, "domain", p.registrations[id].Domain)
		for pl := range p.running {
			// Attempts that must not be repeated wait, because the target may recover.
			if pl.target.ID == id && pl.repeatable {
				pl.cancel()
			}
		}
	}
	p.step()
	return stalled
}

// startAttempt records that an attempt has been sent. cancel is called if its target
// stalls, is about to load new weights, or keeps the attempt waiting until its weights are
// too old.
func (p *enginePool) startAttempt(pl *enginePlacement, cancel func(), policy cancelPolicy) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pl.cancel, pl.cancelPolicy = cancel, policy
	pl.stallID = p.stallDetector(pl.target.ID).Begin(p.now())
	p.running[pl] = struct{}{}
}

// stallDetector returns the stall detector of a target. The caller holds p.mu.
func (p *enginePool) stallDetector(id string) *overload.StallDetector {
	s := p.stallDetectors[id]
	if s == nil {
		s = &overload.StallDetector{}
		p.stallDetectors[id] = s
	}
	return s
}

// recordProgress records that a part of an attempt's response has arrived.
func (p *enginePool) recordProgress(pl *enginePlacement) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stallDetector(pl.target.ID).Progress(p.now(), pl.stallID)
}
