package ratelease

import (
	"github.com/mastictray/mastictray/internal/lease"
	"github.com/mastictray/mastictray/internal/logrec"
	"github.com/mastictray/mastictray/internal/platform"
)

func (f *fleet) logReachable(p *process) bool { return !f.logDown && !f.logCut[p.domain] }

func (f *fleet) linked(a, b *process) bool {
	return !a.dead && !b.dead && (a.domain == b.domain || !f.linkCut[a.domain] && !f.linkCut[b.domain])
}

// append sends a record to the log, which may fail or lose it. Otherwise it takes
// effect after a delay, and no answer is sent.
func (f *fleet) append(p *process, rec lease.Record) {
	data, err := logrec.Encode(rec.Kind, p.id, 0, rec.Body)
	if err != nil {
		panic(err)
	}
	if !f.logReachable(p) {
		p.leases.HandleAppendResult(rec.Seq, platform.ErrOutage)
		return
	}
	if f.rng.Float64() < f.lossProbability/2 {
		p.leases.HandleAppendResult(rec.Seq, platform.ErrOutcomeUnknown)
		return
	}
	f.schedule(f.delay(), nil, func() { f.log = append(f.log, data) })
}

func (f *fleet) processAt(addr string) *process {
	for _, p := range f.procs {
		if p.addr == addr {
			return p
		}
	}
	return nil
}

// call delivers a message to the process at an address, and its answer back.
func (f *fleet) call(p *process, addr string, serve func(*process) func()) {
	to := f.processAt(addr)
	if !f.linked(p, to) || f.rng.Float64() < f.lossProbability {
		return
	}
	f.messages++
	f.schedule(f.delay(), to, func() {
		answer := serve(to)
		if answer != nil && f.linked(p, to) && f.rng.Float64() >= f.lossProbability {
			f.messages++
			f.schedule(f.delay(), p, answer)
		}
	})
}

func (f *fleet) requestPromise(p *process, req lease.PromiseRequest) {
	f.call(p, req.Member.Address, func(to *process) func() {
		a := to.leases.HandlePromiseRequest(f.clock(to), req.Body)
		return func() { p.leases.HandlePromiseAnswer(req.ID, a) }
	})
}

func (f *fleet) tick(p *process) {
	r := p.limiter.Tick(f.clock(p))
	for _, req := range r.TokenRequests {
		f.call(p, req.Peer, func(to *process) func() {
			g := to.limiter.HandleTokenRequest(f.clock(to), req.Body)
			return func() {
				p.limiter.HandleGrant(f.clock(p), to.addr, req.ID, g)
				f.tick(p)
			}
		})
	}
	for _, ret := range r.Returns {
		f.sendReturn(p, ret)
	}
	for _, out := range r.Done {
		f.handleOutcome(p, out)
	}
}

func (f *fleet) sendReturn(p *process, ret Return) {
	f.call(p, ret.Peer, func(to *process) func() {
		to.limiter.HandleReturn(f.clock(to), ret.Body)
		return nil
	})
}
