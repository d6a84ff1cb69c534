package gateway

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/mastictray/mastictray/internal/cacheindex"
	"github.com/mastictray/mastictray/internal/directory"
	"github.com/mastictray/mastictray/internal/dispatch"
	"github.com/mastictray/mastictray/internal/overload"
	"github.com/mastictray/mastictray/internal/placement"
	"github.com/mastictray/mastictray/internal/routing"
	"github.com/mastictray/mastictray/internal/servicetime"
)

type (
	waiting = dispatch.Request[chan placedOrRefusal]
	sending = dispatch.Send[chan placedOrRefusal]
)

type placedOrRefusal struct {
	placed  *placed
	refusal *dispatch.Refusal[chan placedOrRefusal]
}

// placed is a target chosen for one attempt.
type placed struct {
	target  directory.Registration
	send    sending
	breaker *overload.Breaker
	ticket  overload.Ticket
	held    int
	// source is a target to fetch pieces of the prompt from; empty for none.
	source string
	// sourceHolds is the leading pieces that it is known to hold.
	sourceHolds int
	// targets is the number of targets that it was chosen from.
	targets int
	// leg numbers the attempt among those at its target, whose silence is
	// watched.
	leg uint64
	// cut ends the attempt.
	cut func()
	mobility
	// withdrawn is set when this instance cut it for a reason that says nothing
	// against its target.
	withdrawn bool
	// prefilled is set once the first token came.
	prefilled bool
}

// enginePool decides for the requests of one service of model servers. Its
// lock is held for decisions only, never over I/O.
type enginePool struct {
	now     func() time.Duration
	domain  string
	prefill float64
	// transfer is the tokens a second that one target fetches from another.
	transfer float64

	mu       sync.Mutex
	regs     map[string]directory.Registration
	memory   int
	breakers map[string]*overload.Breaker
	silences map[string]*overload.StallDetector
	running  map[*placed]struct{}
	// silentAt is when a target was found silent.
	silentAt   map[string]time.Duration
	pool       *placement.Pool
	picker     *placement.Picker
	index      *cacheindex.Index
	dispatcher *dispatch.Dispatcher[chan placedOrRefusal]
	rng        *rand.Rand
	nextID     uint64
	// times is what was learnt of the targets' times to a first token.
	times  *servicetime.Estimator
	bounds versionBounds
	// limits are the rates that targets state, limited the targets that do.
	limits  *targetLimits
	limited map[string]bool
	loading map[string]bool
	// loadingSince is since when a target has been seen to load.
	loadingSince map[string]time.Duration
	// refusedAt is when a target last refused a request as a whole.
	refusedAt map[string]time.Duration
	stepping  bool
}

func newEnginePool(now func() time.Duration, domain string, prefill float64, limits *targetLimits) *enginePool {
	p := &enginePool{
		now: now, domain: domain, prefill: prefill, limits: limits, times: servicetime.New(prefill),
		regs: map[string]directory.Registration{}, breakers: map[string]*overload.Breaker{},
		silences: map[string]*overload.StallDetector{}, running: map[*placed]struct{}{}, silentAt: map[string]time.Duration{},
		index:     cacheindex.New(cacheIndexBytes),
		rng:       rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		refusedAt: map[string]time.Duration{}, loadingSince: map[string]time.Duration{},
	}
	p.rebuild(nil)
	o := dispatch.DefaultOptions()
	o.MaxTargetBacklog = engineWindow
	o.RecomputeBacklogUnit, o.MaxRecomputeFactor = pressureUnit, maxRecompute
	o.Queue.MaxItems = maxQueued
	o.Queue.MinRate = prefill
	p.dispatcher = dispatch.New[chan placedOrRefusal](p.pool, p.index, p.picker, o)
	return p
}

// update takes the service's usable targets. What is known of targets that
// stay is kept; a new incarnation starts with nothing known of it.
func (p *enginePool) update(regs []directory.Registration, e *routing.Engine) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.memory = e.MemoryTokens
	p.index.SetCapacity(cacheShare * float64(e.MemoryTokens))
	if e.BytesPerToken > 0 {
		p.transfer = transferShare * e.LinkMbps * bytesPerMbit / float64(e.BytesPerToken)
	}
	p.rebuild(regs)
	p.dispatcher.ReplacePool(p.pool, p.picker)
	p.step()
}

func (p *enginePool) rebuild(regs []directory.Registration) {
	next := map[string]directory.Registration{}
	targets := make([]placement.Target, 0, len(regs))
	for _, r := range regs {
		next[r.ID] = r
		targets = append(targets, p.keep(r))
	}
	for id, old := range p.regs {
		if r, ok := next[id]; !ok || r.Incarnation() != old.Incarnation() {
			delete(p.breakers, id)
			delete(p.silences, id)
		}
	}
	p.regs = next
	p.times.Retain(func(id string) bool { _, there := next[id]; return there })
	p.pool = placement.NewPool(targets, "", placement.DefaultFilters())
	o := placement.DefaultOptions()
	o.MaxCandidates, o.EquivalentTokens = candidates, p.times.EquivalentTokens
	o.QueueSlack = queueSlack
	o.Domain, o.OutdatedPenalty = p.domain, outdatedPenalty
	o.TransferTokensPerSecond, o.TransferSetup = p.transfer, transferSetup
	p.picker = placement.NewPicker(p.pool, p.index, o)
}

// keep carries over what was observed of a target.
func (p *enginePool) keep(r directory.Registration) placement.Target {
	t := placement.Target{Name: r.ID, PrefillTokensPerSecond: p.prefill}
	if p.pool != nil && p.regs[r.ID].Incarnation() == r.Incarnation() {
		if i, ok := p.pool.Find(r.ID); ok {
			t = *p.pool.Target(i)
		}
	}
	t.PrefillTokensPerSecond = p.times.Rate(r.ID)
	id := identity(&r)
	t.Domain, t.Incarnation, t.Version = r.Domain, id.Incarnation, id.Version
	t.Limit, t.MemoryTokens = r.Slots, p.memory
	t.Outdated, t.Loading = behind(&r, p.bounds.wanted), p.resting(&r)
	t.Cache = p.index.Observe(p.now(), id)
	return t
}

// identity names what is known of a target's cache.
func identity(r *directory.Registration) cacheindex.Identity {
	return cacheindex.Identity{Target: r.ID, Incarnation: strconv.FormatInt(r.StartedMs, 10), Version: versionText(r.Versions)}
}

// acquire waits for a target. The refusal says why there is none.
func (p *enginePool) acquire(ctx context.Context, r *waiting) (*placed, *dispatch.Refusal[chan placedOrRefusal]) {
	r.Value = make(chan placedOrRefusal, 1)
	p.mu.Lock()
	p.nextID++
	r.ID = p.nextID
	p.refreshBreakers()
	p.refreshLimits()
	p.endRests()
	p.deliver(p.dispatcher.Push(p.now(), r, p.rng))
	p.keepStepping()
	p.mu.Unlock()
	select {
	case out := <-r.Value:
		return out.placed, out.refusal
	case <-ctx.Done():
	}
	p.mu.Lock()
	p.dispatcher.Cancel(r.Account, r.ID)
	p.mu.Unlock()
	select {
	case out := <-r.Value: // it was chosen meanwhile
		if out.placed != nil {
			p.ended(out.placed, overload.Cancelled)
		}
	default:
	}
	return nil, nil
}

// keepStepping looks at the queue every few milliseconds while requests wait.
func (p *enginePool) keepStepping() {
	if p.stepping || p.dispatcher.Waiting() == 0 {
		return
	}
	p.stepping = true
	time.AfterFunc(stepEvery, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.stepping = false
		p.step()
	})
}

func (p *enginePool) step() {
	p.refreshBreakers()
	p.refreshLimits()
	p.endRests()
	p.deliver(p.dispatcher.Step(p.now(), p.rng))
	p.keepStepping()
}

func (p *enginePool) deliver(s dispatch.Step[chan placedOrRefusal]) {
	for i := range s.Sends {
		send := s.Sends[i]
		p.limits.sent(p.regs[send.Identity.Target].Incarnation())
		b := p.breaker(send.Identity.Target)
		pl := &placed{
			target: p.regs[send.Identity.Target], send: send, breaker: b, ticket: b.Begin(),
			held: send.Request.Placement.HeldTokens, targets: p.pool.EligibleCount(),
		}
		if from, n, ok := p.picker.FetchSource(send.Decision, &send.Request.Placement); ok {
			pl.source, pl.sourceHolds = p.regs[p.pool.Target(from).Name].Address, n
		}
		send.Request.Value <- placedOrRefusal{placed: pl}
	}
	for i := range s.Refusals {
		refusal := s.Refusals[i]
		refusal.Request.Value <- placedOrRefusal{refusal: &refusal}
	}
}

func (p *enginePool) breaker(id string) *overload.Breaker {
	b := p.breakers[id]
	if b == nil {
		b = overload.NewBreaker(overload.BreakerConfig{})
		p.breakers[id] = b
	}
	return b
}

// refreshBreakers shows the placement which targets may get a request now.
func (p *enginePool) refreshBreakers() {
	now := p.now()
	for id, b := range p.breakers {
		i, ok := p.pool.Find(id)
		if !ok {
			continue
		}
		t := p.pool.Target(i)
		if open := !b.Ready(now); open != t.BreakerOpen {
			t.BreakerOpen = open
			p.pool.ApplyFilters(i)
		}
	}
}

// refreshLimits shows the placement which targets may get a request now by the rates
// that they state.
func (p *enginePool) refreshLimits() {
	open := p.limits.limited()
	if len(open)+len(p.limited) == 0 {
		return
	}
	for id := range p.limited {
		p.setRate(id, false, false)
	}
	p.limited = map[string]bool{}
	for id, open := range open {
		if r, ok := p.regs[id.ID]; ok && r.Incarnation() == id {
			p.limited[id.ID] = true
			p.setRate(id.ID, true, !open)
		}
	}
}

// setRate shows the placement whether a target states a limit, and whether it may get
// no request now by that.
func (p *enginePool) setRate(id string, limited, over bool) {
	if i, ok := p.pool.Find(id); ok {
		t := p.pool.Target(i)
		t.RateLimited, t.OverRate = limited, over
		p.pool.ApplyFilters(i)
	}
}

// answered takes in the first token of an answer.
func (p *enginePool) answered(pl *placed) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pl.prefilled {
		return
	}
	pl.prefilled = true
	p.observeTime(pl)
	p.dispatcher.Answered(&pl.send)
	p.index.AddInsertedTokens(pl.send.Identity, float64(pl.took()))
	p.step()
}

// observeTime learns from the first token of an answer. The caller holds p.mu.
func (p *enginePool) observeTime(pl *placed) {
	now, r := p.now(), &pl.send.Request.Placement
	p.times.Observe(pl.target.ID, servicetime.Sample{
		At: now, Elapsed: now - pl.send.SentAt, PromptTokens: float64(r.PromptTokens),
		UncachedTokens: max(0, float64(r.PromptTokens-r.LeadingTokens(max(pl.send.Decision.CachedPieces, pl.sourceHolds)))),
		NoOtherWork:    pl.send.Decision.Queued == 0,
	})
	if l := p.times.Latency(); l > 0 {
		p.dispatcher.SetLatency(l)
	}
	if i, ok := p.pool.Find(pl.target.ID); ok {
		p.pool.Target(i).PrefillTokensPerSecond = p.times.Rate(pl.target.ID)
	}
}

// ended takes in the end of an attempt and what it says of the target.
func (p *enginePool) ended(pl *placed, result overload.Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pl.withdrawn {
		result = overload.Cancelled
	}
	if !pl.prefilled {
		pl.prefilled = true
		p.dispatcher.Failed(&pl.send)
	}
	if i, ok := p.pool.Find(pl.target.ID); ok && p.regs[pl.target.ID].Incarnation() == pl.target.Incarnation() {
		t := p.pool.Target(i)
		t.InFlight--
		t.HeldTokens -= pl.held
	}
	pl.breaker.End(p.now(), pl.ticket, result, p.rng)
	p.silence(pl.target.ID).End(pl.leg)
	delete(p.running, pl)
	p.step()
}

// unreachable takes in that the target takes no connection.
func (p *enginePool) unreachable(pl *placed) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pl.breaker.Unreachable(p.now(), p.rng)
}
