package experiment

import (
	"math/rand/v2"
	"time"

	"github.com/mastictray/mastictray/internal/cacheindex"
	"github.com/mastictray/mastictray/internal/prefix"
)

// maxAttempts bounds the engines tried for one request.
const maxAttempts = 3

// attempt is one request on its way through a router.
type attempt struct {
	call  *call
	tries int
	last  int
}

// policy decides for one router.
type policy interface {
	// arrive takes a request; the policy calls router.send or router.refuse.
	arrive(a *attempt)
	// report takes a load report that was true at asOf.
	report(e int, asOf time.Duration, id cacheindex.Identity, queued float64)
	// cacheEvent takes a cache event.
	cacheEvent(id cacheindex.Identity, stored, evicted []prefix.Hash)
	// answered and failed end an attempt at an engine.
	answered(e int, a *attempt, cached int)
	failed(e int, a *attempt)
	// restart loses everything that the router remembers.
	restart()
}

// router is the part of an entry instance that all policies share.
type router struct {
	f      *fleet
	index  int
	domain string
	rng    *rand.Rand
	policy policy
	// up and version are what this router has last seen of each engine.
	up      []bool
	version []string
}

func newRouter(f *fleet, i int, seed uint64, mk func(*router) policy) *router {
	r := &router{f: f, index: i, domain: f.w.Domains[i%len(f.w.Domains)], rng: rand.New(rand.NewPCG(seed, uint64(i)+10))}
	for _, e := range f.engines {
		r.up = append(r.up, true)
		r.version = append(r.version, e.version)
	}
	r.policy = mk(r)
	offset := reportPeriod * time.Duration(i) / time.Duration(f.w.Routers)
	f.clock.after(offset, func() { f.clock.every(reportPeriod, r.poll) })
	return r
}

// usable reports whether an engine can be sent to.
func (r *router) usable(i int) bool { return r.up[i] && r.version[i] == r.f.wanted }

// poll asks every engine for its load.
func (r *router) poll() {
	asOf := r.f.clock.now
	for i, e := range r.f.engines {
		if !e.up || !r.f.linked(r.domain, e.domain) {
			continue
		}
		id, queued := e.identity(), e.queued()
		r.f.clock.after(r.f.c.ReportLag, func() {
			if !e.up || e.identity() != id || !r.f.linked(r.domain, e.domain) {
				return
			}
			r.up[i], r.version[i] = true, id.Version
			r.policy.report(i, asOf, id, queued)
		})
	}
}

// send gives an attempt to an engine.
func (r *router) send(i int, a *attempt) {
	e := r.f.engines[i]
	d := r.f.delay(r.domain, e.domain)
	due := a.call.at + a.call.deadline
	a.last = i
	j := &job{call: a.call, chain: a.call.chain(r.f.w, e.version), due: due}
	sent := float64(a.call.tokens - e.coming(j.chain)*r.f.w.PieceTokens)
	e.inbound += sent
	e.expect(j.chain, 1)
	j.done = func(cached int) {
		e.expect(j.chain, -1)
		r.f.clock.after(d, func() { r.answer(i, a, cached) })
	}
	j.failed = func(late bool) {
		e.expect(j.chain, -1)
		r.f.clock.after(d, func() { r.fail(i, a, late) })
	}
	r.f.clock.after(d, func() {
		e.inbound -= sent
		if !r.f.linked(r.domain, e.domain) || e.version != r.f.wanted {
			j.failed(false)
			return
		}
		e.submit(j)
	})
}

func (r *router) answer(i int, a *attempt, cached int) {
	if !r.f.linked(r.domain, r.f.engines[i].domain) {
		r.fail(i, a, false)
		return
	}
	r.policy.answered(i, a, cached)
	r.f.measure.answered(a.call, r.f.clock.now)
}

func (r *router) fail(i int, a *attempt, late bool) {
	r.policy.failed(i, a)
	if late {
		r.f.measure.late(a.call)
		return
	}
	r.up[i] = false
	a.tries++
	if a.tries >= maxAttempts {
		r.f.measure.lost(a.call)
		return
	}
	r.policy.arrive(a)
}

func (r *router) refuse(a *attempt) { r.f.measure.refused(a.call) }
