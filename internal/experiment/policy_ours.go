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
	stepPeriod      = 5 * time.Millisecond
	// catchUp is how long a router follows cache events until it has heard
	// of most of what is cached, when engines retain none.
	catchUp = 2 * time.Second
)

type (
	request = dispatch.Request[*attempt]
	sending = dispatch.Send[*attempt]
)

// product is the product's decision code in one router.
type product struct {
	r          *router
	tuning     Tuning
	pool       *placement.Pool
	index      *cacheindex.Index
	dispatcher *dispatch.Dispatcher[*attempt]
	sent       map[*attempt]sending
	waiting    map[*attempt]uint64 // by arrival
	nextID     uint64
	ticking    bool
}

func newProduct(t Tuning) func(*router) policy {
	return func(r *router) policy {
		p := &product{r: r, tuning: t, sent: map[*attempt]sending{}, waiting: map[*attempt]uint64{}}
		p.begin()
		return p
	}
}

// restart loses everything. Waiting requests come again, as their callers
// would send them again; running ones are finished by the former incarnation.
func (p *product) restart() {
	again := slices.SortedFunc(maps.Keys(p.waiting), func(a, b *attempt) int {
		return cmp.Compare(p.waiting[a], p.waiting[b])
	})
	clear(p.waiting)
	p.begin()
	for _, a := range again {
		p.arrive(a)
	}
}

// begin starts with nothing remembered.
func (p *product) begin() {
	w := p.r.f.w
	targets := make([]placement.Target, len(p.r.f.engines))
	for i, e := range p.r.f.engines {
		targets[i] = placement.Target{Name: e.name, Domain: e.domain, PrefillTokensPerSecond: w.PrefillRate, Version: p.r.f.wanted}
		targets[i].Unreachable = p.tuning.OwnDomain && e.domain != p.r.domain
	}
	place := p.tuning.Placement
	place.Domain, place.CrossDomainDelay = p.r.domain, w.LinkDelay
	o := p.tuning.Dispatch
	o.Queue.MinRate = w.PrefillRate * float64(w.Engines) / float64(w.Routers)
	p.pool = placement.NewPool(targets, p.r.f.wanted, placement.DefaultFilters())
	p.index = cacheindex.New(cacheIndexBytes)
	picker := placement.NewPicker(p.pool, p.index, place)
	switch {
	case p.r.f.c.Replay:
		p.r.f.clock.after(2*w.LinkDelay, picker.SetCacheStateKnown)
	case p.r.f.c.EventLoss < 1:
		p.r.f.clock.after(catchUp, picker.SetCacheStateKnown)
	}
	for i, e := range p.r.f.engines {
		p.report(i, p.r.f.clock.now, e.identity(), 0)
	}
	p.dispatcher = dispatch.New[*attempt](p.pool, p.index, picker, o)
}

func (p *product) arrive(a *attempt) {
	p.syncFlags()
	p.nextID++
	p.waiting[a] = p.nextID
	w := p.r.f.w
	p.perform(p.dispatcher.Push(p.r.f.clock.now, &request{
		ID: p.nextID, Account: w.Accounts[a.call.account].Name, Priority: a.call.priority,
		Deadline: a.call.at + a.call.deadline, Value: a,
		Placement: placement.Request{Chain: a.call.chain(w, p.r.f.wanted), PieceTokens: w.PieceTokens, PromptTokens: a.call.tokens},
	}, p.r.rng))
	p.tick()
}

// tick steps the dispatcher while requests wait in it.
func (p *product) tick() {
	if p.ticking || p.dispatcher.Waiting() == 0 {
		return
	}
	p.ticking = true
	p.r.f.clock.after(stepPeriod, func() {
		p.ticking = false
		p.syncFlags()
		p.perform(p.dispatcher.Step(p.r.f.clock.now, p.r.rng))
		p.tick()
	})
}

func (p *product) perform(step dispatch.Step[*attempt]) {
	for _, x := range step.Refusals {
		delete(p.waiting, x.Request.Value)
		p.r.refuse(x.Request.Value)
	}
	for _, s := range step.Sends {
		delete(p.waiting, s.Request.Value)
		p.sent[s.Request.Value] = s
		p.r.send(s.Target, s.Request.Value)
	}
}

// syncFlags carries what the router saw of the engines into the pool.
func (p *product) syncFlags() {
	p.pool.SetDesiredVersion(p.r.f.wanted)
	for i, ok := range p.r.up {
		if t := p.pool.Target(i); t.BreakerOpen == ok {
			t.BreakerOpen = !ok
			p.pool.ApplyFilters(i)
		}
	}
}

func (p *product) report(e int, asOf time.Duration, id cacheindex.Identity, queued float64) {
	t := p.pool.Target(e)
	t.Cache = p.index.Observe(asOf, id)
	if t.Incarnation != id.Incarnation || t.Version != id.Version {
		t.Load.Reset(asOf)
		t.Incarnation, t.Version = id.Incarnation, id.Version
		p.pool.ApplyFilters(e)
	}
	t.Load.Report(asOf, queued)
}

func (p *product) cacheEvent(id cacheindex.Identity, stored, evicted []prefix.Hash) {
	p.index.Stored(id, stored)
	p.index.Evicted(id, evicted)
}

func (p *product) answered(_ int, a *attempt, cached int) {
	if s, ok := p.sent[a]; ok {
		p.dispatcher.Answered(&s)
		p.dispatcher.RecordCachedTokens(&s, cached*p.r.f.w.PieceTokens)
		delete(p.sent, a)
	}
}

func (p *product) failed(_ int, a *attempt) {
	if s, ok := p.sent[a]; ok {
		p.dispatcher.Failed(&s)
		delete(p.sent, a)
	}
}
