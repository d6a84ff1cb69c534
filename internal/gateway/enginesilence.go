package gateway

import (
	"time"

	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/overload"
)

const (
	// reportSilentFor is how long peers get a report of a target's silence.
	reportSilentFor = 2 * time.Second
	// ownAnswerFor is how long an own answer of a target outweighs the reports of peers.
	ownAnswerFor = time.Second
)

// silent lists the targets found silent a short while ago.
func (p *enginePool) silent() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var ids []string
	for id, at := range p.silentAt {
		if p.now()-at > reportSilentFor {
			delete(p.silentAt, id)
		} else {
			ids = append(ids, id)
		}
	}
	return ids
}

// unanswering are the targets that answer this instance nothing.
func (p *enginePool) unanswering() map[string]bool {
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

// suspect stops sending to targets that several peers have found silent,
// unless one has answered here lately: this instance may reach what they do
// not. A probe tells soon.
func (p *enginePool) suspect(ids []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	for _, id := range ids {
		r, known := p.regs[id]
		b := p.breaker(id)
		if !known || b.State() == overload.Open || p.silence(id).AnsweredSince(now-ownAnswerFor) {
			continue
		}
		b.Unreachable(now, p.rng)
		logline.Info("target_suspected", "target", id, "address", r.Address, "domain", r.Domain)
	}
	p.step()
}

// checkSilence stops sending to targets that fell silent, and ends the
// attempts there that may go on elsewhere. It gives the targets' addresses.
func (p *enginePool) checkSilence() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	var gone []string
	for id, s := range p.silences {
		b := p.breaker(id)
		if b.State() == overload.Open || !s.Stalled(now) {
			continue
		}
		b.Unreachable(now, p.rng)
		gone = append(gone, p.regs[id].Address)
		p.silentAt[id] = now
		logline.Info("target_silent", "target", id, "address", p.regs[id].Address, "domain", p.regs[id].Domain)
		for pl := range p.running {
			// What may not be repeated waits: the target may come back.
			if pl.target.ID == id && pl.repeatable {
				pl.cut()
			}
		}
	}
	p.step()
	return gone
}

// sent notes that an attempt is on its way. Should its target fall silent, load
// new weights, or keep it waiting until its weights are too old, cut is called.
func (p *enginePool) sent(pl *placed, cut func(), m mobility) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pl.cut, pl.mobility = cut, m
	pl.leg = p.silence(pl.target.ID).Begin(p.now())
	p.running[pl] = struct{}{}
}

func (p *enginePool) silence(id string) *overload.StallDetector {
	s := p.silences[id]
	if s == nil {
		s = &overload.StallDetector{}
		p.silences[id] = s
	}
	return s
}

// progressed notes that something of an attempt's answer came.
func (p *enginePool) progressed(pl *placed) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silence(pl.target.ID).Progress(p.now(), pl.leg)
}
