package experiment

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/mastictray/mastictray/internal/cacheindex"
	"github.com/mastictray/mastictray/internal/dispatch"
	"github.com/mastictray/mastictray/internal/placement"
	"github.com/mastictray/mastictray/internal/prefix"
)

const (
	cacheIndexBytes = 1 << 20
	stepInterval    = 5 * time.Millisecond
	// cacheCatchUpTime is the time that a started router needs to learn most of
	// the contents of the caches from new events, if the engines retain none.
	cacheCatchUpTime = 2 * time.Second
)

type (
	dispatchRequest = dispatch.Request[*routedRequest]
	dispatchSend    = dispatch.Send[*routedRequest]
)

// productPolicy runs the product's decision code in a router.
type productPolicy struct {
	router        *router
	tuning        Tuning
	pool          *placement.Pool
	cacheIndex    *cacheindex.Index
	dispatcher    *dispatch.Dispatcher[*routedRequest]
	sent          map[*routedRequest]dispatchSend
	waiting       map[*routedRequest]uint64 // values are in the order of arrival
	nextID        uint64
	stepScheduled bool
}

func newProductPolicy(tuning Tuning) func(*router) policy {
	return func(r *router) policy {
		p := &productPolicy{router: r, tuning: tuning, sent: map[*routedRequest]dispatchSend{}, waiting: map[*routedRequest]uint64{}}
		p.reset()
		return p
	}
}

// restart discards all state. The waiting requests are handled again, as if their
// callers sent them again. Sent requests complete as if the router had not restarted.
func (p *productPolicy) restart() {
	pending := slices.SortedFunc(maps.Keys(p.waiting), func(routed, b *routedRequest) int {
		return cmp.Compare(p.waiting[routed], p.waiting[b])
	})
	clear(p.waiting)
	p.reset()
	for _, routed := range pending {
		p.handleRequest(routed)
	}
}

// reset initialises the state of a router that has just started.
func (p *productPolicy) reset() {
	workload := p.router.sim.workload
	targets := make([]placement.Target, len(p.router.sim.engines))
	for i, e := range p.router.sim.engines {
		targets[i] = placement.Target{Name: e.name, Domain: e.domain, PrefillTokensPerSecond: workload.PrefillRate, Version: p.router.sim.wantedVersion}
		targets[i].Unreachable = p.tuning.OwnDomain && e.domain != p.router.domain
	}
	placementOptions := p.tuning.Placement
	placementOptions.Domain, placementOptions.CrossDomainDelay = p.router.domain, workload.LinkDelay
	dispatchOptions := p.tuning.Dispatch
	dispatchOptions.Queue.MinRate = workload.PrefillRate * float64(workload.Engines) / float64(workload.Routers)
	p.pool = placement.NewPool(targets, p.router.sim.wantedVersion, placement.DefaultFilters())
	p.cacheIndex = cacheindex.New(cacheIndexBytes)
	picker := placement.NewPicker(p.pool, p.cacheIndex, placementOptions)
	switch {
	case p.router.sim.testCase.ReplayEvents:
		p.router.sim.clock.after(2*workload.LinkDelay, picker.SetCacheStateKnown)
	case p.router.sim.testCase.EventLossRate < 1:
		p.router.sim.clock.after(cacheCatchUpTime, picker.SetCacheStateKnown)
	}
	for i, e := range p.router.sim.engines {
		p.handleLoadReport(i, p.router.sim.clock.now, e.identity(), 0)
	}
	p.dispatcher = dispatch.New[*routedRequest](p.pool, p.cacheIndex, picker, dispatchOptions)
}

func (p *productPolicy) handleRequest(routed *routedRequest) {
	p.syncPool()
	p.nextID++
	p.waiting[routed] = p.nextID
	workload := p.router.sim.workload
	p.applyStep(p.dispatcher.Push(p.router.sim.clock.now, &dispatchRequest{
		ID: p.nextID, Account: workload.Accounts[routed.request.account].Name, Priority: routed.request.priority,
		Deadline: routed.request.arrival + routed.request.deadline, Value: routed,
		Placement: placement.Request{Chain: routed.request.chain(workload, p.router.sim.wantedVersion), PieceTokens: workload.PieceTokens, PromptTokens: routed.request.tokens},
	}, p.router.rng))
	p.scheduleStep()
}

// scheduleStep schedules the next step of the dispatcher if requests wait in it.
func (p *productPolicy) scheduleStep() {
	if p.stepScheduled || p.dispatcher.Waiting() == 0 {
		return
	}
	p.stepScheduled = true
	p.router.sim.clock.after(stepInterval, func() {
		p.stepScheduled = false
		p.syncPool()
		p.applyStep(p.dispatcher.Step(p.router.sim.clock.now, p.router.rng))
		p.scheduleStep()
	})
}

func (p *productPolicy) applyStep(step dispatch.Step[*routedRequest]) {
	for _, refusal := range step.Refusals {
		delete(p.waiting, refusal.Request.Value)
		p.router.refuse(refusal.Request.Value)
	}
	for _, dispatched := range step.Sends {
		delete(p.waiting, dispatched.Request.Value)
		p.sent[dispatched.Request.Value] = dispatched
		p.router.send(dispatched.Target, dispatched.Request.Value)
	}
}

// syncPool updates the pool with the wanted version and with the engines that the
// router has seen as up or down.
func (p *productPolicy) syncPool() {
	p.pool.SetDesiredVersion(p.router.sim.wantedVersion)
	for i, ok := range p.router.seenUp {
		if t := p.pool.Target(i); t.BreakerOpen == ok {
			t.BreakerOpen = !ok
			p.pool.ApplyFilters(i)
		}
	}
}

func (p *productPolicy) handleLoadReport(e int, asOf time.Duration, id cacheindex.Identity, queued float64) {
	t := p.pool.Target(e)
	t.Cache = p.cacheIndex.Observe(asOf, id)
	if t.Incarnation != id.Incarnation || t.Version != id.Version {
		t.Load.Reset(asOf)
		t.Incarnation, t.Version = id.Incarnation, id.Version
		p.pool.ApplyFilters(e)
	}
	t.Load.Report(asOf, queued)
}

func (p *productPolicy) handleCacheEvent(id cacheindex.Identity, stored, evicted []prefix.Hash) {
	p.cacheIndex.Stored(id, stored)
	p.cacheIndex.Evicted(id, evicted)
}

func (p *productPolicy) handleAnswer(_ int, routed *routedRequest, cached int) {
	if dispatched, ok := p.sent[routed]; ok {
		p.dispatcher.Answered(&dispatched)
		p.dispatcher.RecordCachedTokens(&dispatched, cached*p.router.sim.workload.PieceTokens)
		delete(p.sent, routed)
	}
}

func (p *productPolicy) handleFailure(_ int, routed *routedRequest) {
	if dispatched, ok := p.sent[routed]; ok {
		p.dispatcher.Failed(&dispatched)
		delete(p.sent, routed)
	}
}
