package experiment

import (
	"math/rand/v2"
	"time"

	"github.com/mastictray/mastictray/internal/cacheindex"
	"github.com/mastictray/mastictray/internal/prefix"
)

// maxAttempts limits the attempts to run a request on an engine.
const maxAttempts = 3

// routedRequest is a request that a router is handling, and its attempts so far.
type routedRequest struct {
	request    *request
	attempts   int
	lastEngine int
}

// policy makes the routing decisions of one router. Engines are identified by their
// index.
type policy interface {
	// handleRequest handles a new or failed request by calling router.send or
	// router.refuse, possibly later.
	handleRequest(routed *routedRequest)
	// handleLoadReport handles a load report that was accurate at asOf.
	handleLoadReport(e int, asOf time.Duration, id cacheindex.Identity, queued float64)
	// handleCacheEvent handles the pieces that an engine stored and evicted.
	handleCacheEvent(id cacheindex.Identity, stored, evicted []prefix.Hash)
	// handleAnswer and handleFailure handle the end of an attempt on an engine.
	handleAnswer(e int, routed *routedRequest, cached int)
	handleFailure(e int, routed *routedRequest)
	// restart discards the state that a router loses when it restarts.
	restart()
}

// router models the part of an entry instance that does not depend on the policy.
type router struct {
	sim    *simulation
	index  int
	domain string
	rng    *rand.Rand
	policy policy
	// seenUp and seenVersion are the last known state of each engine.
	seenUp      []bool
	seenVersion []string
}

func newRouter(sim *simulation, i int, seed uint64, newPolicy func(*router) policy) *router {
	r := &router{sim: sim, index: i, domain: sim.workload.Domains[i%len(sim.workload.Domains)], rng: rand.New(rand.NewPCG(seed, uint64(i)+10))}
	for _, e := range sim.engines {
		r.seenUp = append(r.seenUp, true)
		r.seenVersion = append(r.seenVersion, e.version)
	}
	r.policy = newPolicy(r)
	offset := reportInterval * time.Duration(i) / time.Duration(sim.workload.Routers)
	sim.clock.after(offset, func() { sim.clock.every(reportInterval, r.pollLoads) })
	return r
}

// usable reports whether requests can be sent to an engine.
func (r *router) usable(i int) bool { return r.seenUp[i] && r.seenVersion[i] == r.sim.wantedVersion }

// pollLoads requests a load report from every reachable engine.
func (r *router) pollLoads() {
	asOf := r.sim.clock.now
	for i, e := range r.sim.engines {
		if !e.up || !r.sim.reachable(r.domain, e.domain) {
			continue
		}
		id, queued := e.identity(), e.queuedTokens()
		r.sim.clock.after(r.sim.testCase.ReportLag, func() {
			if !e.up || e.identity() != id || !r.sim.reachable(r.domain, e.domain) {
				return
			}
			r.seenUp[i], r.seenVersion[i] = true, id.Version
			r.policy.handleLoadReport(i, asOf, id, queued)
		})
	}
}

// send sends a request to an engine.
func (r *router) send(i int, routed *routedRequest) {
	e := r.sim.engines[i]
	delay := r.sim.linkDelay(r.domain, e.domain)
	expiresAt := routed.request.arrival + routed.request.deadline
	routed.lastEngine = i
	j := &job{request: routed.request, chain: routed.request.chain(r.sim.workload, e.version), expiresAt: expiresAt}
	uncachedTokens := float64(routed.request.tokens - e.expectedPrefixLen(j.chain)*r.sim.workload.PieceTokens)
	e.inboundTokens += uncachedTokens
	e.addExpected(j.chain, 1)
	j.onDone = func(cached int) {
		e.addExpected(j.chain, -1)
		r.sim.clock.after(delay, func() { r.completeAttempt(i, routed, cached) })
	}
	j.onFailed = func(late bool) {
		e.addExpected(j.chain, -1)
		r.sim.clock.after(delay, func() { r.failAttempt(i, routed, late) })
	}
	r.sim.clock.after(delay, func() {
		e.inboundTokens -= uncachedTokens
		if !r.sim.reachable(r.domain, e.domain) || e.version != r.sim.wantedVersion {
			j.onFailed(false)
			return
		}
		e.submit(j)
	})
}

func (r *router) completeAttempt(i int, routed *routedRequest, cached int) {
	if !r.sim.reachable(r.domain, r.sim.engines[i].domain) {
		r.failAttempt(i, routed, false)
		return
	}
	r.policy.handleAnswer(i, routed, cached)
	r.sim.metrics.recordAnswered(routed.request, r.sim.clock.now)
}

func (r *router) failAttempt(i int, routed *routedRequest, late bool) {
	r.policy.handleFailure(i, routed)
	if late {
		r.sim.metrics.recordLate(routed.request)
		return
	}
	r.seenUp[i] = false
	routed.attempts++
	if routed.attempts >= maxAttempts {
		r.sim.metrics.recordLost(routed.request)
		return
	}
	r.policy.handleRequest(routed)
}

func (r *router) refuse(routed *routedRequest) { r.sim.metrics.recordRefused(routed.request) }
