package experiment

import (
	"time"

	"github.com/mastictray/mastictray/internal/belief"
	"github.com/mastictray/mastictray/internal/fairqueue"
	"github.com/mastictray/mastictray/internal/placement"
	"github.com/mastictray/mastictray/internal/prefix"
)

const (
	beliefBudget = 1 << 20
	queueItems   = 2000
	pumpPeriod   = 5 * time.Millisecond
)

// product is the product's decision code in one router.
type product struct {
	r       *router
	options placement.Options
	// window is the backlog of the targets above which requests wait in the
	// fair queue.
	window  time.Duration
	pool    *placement.Pool
	beliefs *belief.Store
	picker  *placement.Picker
	queue   *fairqueue.Queue[*attempt]
	sent    map[*attempt]expectation
	nextID  uint64
	pumping bool
}

// expectation is what was recorded when an attempt was sent.
type expectation struct {
	id    belief.Identity
	chain []prefix.Hash
	kept  int
	cost  float64
}

func newProduct(o placement.Options, window time.Duration) func(*router) policy {
	return func(r *router) policy {
		o.Domain, o.CrossDomainDelay = r.domain, r.f.w.LinkDelay
		p := &product{r: r, options: o, window: window, sent: map[*attempt]expectation{}}
		rate := r.f.w.PrefillRate * float64(r.f.w.Engines) / float64(r.f.w.Routers)
		p.queue = fairqueue.New[*attempt](fairqueue.Options{MaxItems: queueItems, InitialRate: rate})
		p.restart()
		return p
	}
}

func (p *product) restart() {
	targets := make([]placement.Target, len(p.r.f.engines))
	for i, e := range p.r.f.engines {
		targets[i] = placement.Target{Name: e.name, Domain: e.domain, PrefillTokensPerSecond: p.r.f.w.PrefillRate, Version: p.r.f.wanted}
	}
	p.pool = placement.NewPool(targets, p.r.f.wanted, placement.DefaultFilters())
	p.beliefs = belief.NewStore(beliefBudget)
	p.picker = placement.NewPicker(p.pool, p.beliefs, p.options)
	clear(p.sent)
}

func (p *product) arrive(a *attempt) {
	now := p.r.f.clock.now
	p.nextID++
	w := p.r.f.w
	refused := p.queue.Push(now, fairqueue.Item[*attempt]{
		ID: p.nextID, Account: w.Accounts[a.call.account].Name, Priority: a.call.priority,
		Cost: float64(a.call.tokens), Deadline: a.call.at + a.call.deadline, Value: a,
	})
	p.refuse(refused)
	p.pump()
}

func (p *product) refuse(list []fairqueue.Refusal[*attempt]) {
	for _, x := range list {
		p.r.refuse(x.Item.Value)
	}
}

// pump sends what may be sent, and looks again shortly while requests wait.
func (p *product) pump() {
	now := p.r.f.clock.now
	p.syncFlags()
	p.refuse(p.queue.Sweep(now))
	for p.queue.Len() > 0 && p.pool.Backlog(now) < p.window {
		it, _ := p.queue.Pop(now)
		p.place(it.Value)
	}
	if p.queue.Len() > 0 && !p.pumping {
		p.pumping = true
		p.r.f.clock.after(pumpPeriod, func() {
			p.pumping = false
			p.pump()
		})
	}
}

// syncFlags carries what the router saw of the engines into the pool.
func (p *product) syncFlags() {
	p.pool.Want(p.r.f.wanted)
	for i, ok := range p.r.usable {
		if t := p.pool.Target(i); t.BreakerOpen == ok {
			t.BreakerOpen = !ok
			p.pool.Changed(i)
		}
	}
}

func (p *product) place(a *attempt) {
	now := p.r.f.clock.now
	w := p.r.f.w
	chain := a.call.chain(w, p.r.f.wanted)
	req := placement.Request{Chain: chain, PieceTokens: w.PieceTokens, PromptTokens: a.call.tokens}
	d, err := p.picker.Pick(now, &req, p.r.rng)
	if err != nil {
		p.r.refuse(a)
		return
	}
	t := p.pool.Target(d.Index)
	id := belief.Identity{Target: t.Name, Incarnation: t.Incarnation, Version: t.Version}
	t.Load.Sent(now, d.UncachedTokens)
	p.beliefs.Expect(id, chain)
	p.sent[a] = expectation{id: id, chain: chain, kept: d.CachedPieces, cost: d.UncachedTokens}
	p.r.send(d.Index, a)
}

func (p *product) report(e int, asOf time.Duration, id belief.Identity, queued float64) {
	t := p.pool.Target(e)
	t.Belief = p.beliefs.Observe(asOf, id)
	if t.Incarnation != id.Incarnation || t.Version != id.Version {
		t.Load.Reset(asOf)
		t.Incarnation, t.Version = id.Incarnation, id.Version
		p.pool.Changed(e)
	}
	t.Load.Report(asOf, queued)
}

func (p *product) cacheEvent(id belief.Identity, stored, evicted []prefix.Hash) {
	p.beliefs.Stored(id, stored)
	p.beliefs.Evicted(id, evicted)
}

func (p *product) answered(_ int, a *attempt, _ int) {
	if x, ok := p.sent[a]; ok {
		p.beliefs.Answered(x.id, x.chain)
		delete(p.sent, a)
	}
}

func (p *product) failed(_ int, a *attempt) {
	if x, ok := p.sent[a]; ok {
		p.beliefs.Failed(x.id, x.chain, x.kept)
		delete(p.sent, a)
	}
}
