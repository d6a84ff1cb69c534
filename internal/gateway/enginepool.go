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
	engineRequest = dispatch.Request[chan placementResult]
	engineSend    = dispatch.Send[chan placementResult]
)

type placementResult struct {
	placed  *enginePlacement
	refusal *dispatch.Refusal[chan placementResult]
}

// enginePlacement is a target chosen for one attempt.
type enginePlacement struct {
	target     directory.Registration
	send       engineSend
	breaker    *overload.Breaker
	ticket     overload.Ticket
	heldTokens int
	// fetchSource is a target to fetch pieces of the prompt from; empty for none.
	fetchSource string
	// fetchSourcePieces is the leading pieces that it is known to hold.
	fetchSourcePieces int
	// eligibleTargets is the number of eligibleTargets that it was chosen from.
	eligibleTargets int
	// stallID numbers the attempt among those at its target, whose silence is
	// watched.
	stallID uint64
	// cancel ends the attempt.
	cancel func()
	cancelPolicy
	// cancelledHere is set when this instance cut it for a reason that says nothing
	// against its target.
	cancelledHere bool
	// firstTokenSeen is set once the first token came.
	firstTokenSeen bool
}

// enginePool decides for the requests of one service of model servers. Its
// lock is held for decisions only, never over I/O.
type enginePool struct {
	now         func() time.Duration
	domain      string
	prefillRate float64
	// transferRate is the tokens a second that one target fetches from another.
	transferRate float64

	mu             sync.Mutex
	registrations  map[string]directory.Registration
	memoryTokens   int
	breakers       map[string]*overload.Breaker
	stallDetectors map[string]*overload.StallDetector
	running        map[*enginePlacement]struct{}
	// stalledAt is when a target was found silent.
	stalledAt  map[string]time.Duration
	pool       *placement.Pool
	picker     *placement.Picker
	index      *cacheindex.Index
	dispatcher *dispatch.Dispatcher[chan placementResult]
	rng        *rand.Rand
	nextID     uint64
	// serviceTimes is what was learnt of the targets' serviceTimes to a first token.
	serviceTimes *servicetime.Estimator
	bounds       versionBounds
	// limits are the rates that targets state, limited the targets that do.
	limits      *targetLimits
	rateLimited map[string]bool
	loading     map[string]bool
	// loadingSince is since when a target has been seen to load.
	loadingSince map[string]time.Duration
	// refusedAt is when a target last refused a request as a whole.
	refusedAt     map[string]time.Duration
	stepScheduled bool
}

func newEnginePool(now func() time.Duration, domain string, prefill float64, limits *targetLimits) *enginePool {
	p := &enginePool{
		now: now, domain: domain, prefillRate: prefill, limits: limits, serviceTimes: servicetime.New(prefill),
		registrations: map[string]directory.Registration{}, breakers: map[string]*overload.Breaker{},
		stallDetectors: map[string]*overload.StallDetector{}, running: map[*enginePlacement]struct{}{}, stalledAt: map[string]time.Duration{},
		index:     cacheindex.New(cacheIndexBytes),
		rng:       rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		refusedAt: map[string]time.Duration{}, loadingSince: map[string]time.Duration{},
	}
	p.rebuild(nil)
	o := dispatch.DefaultOptions()
	o.MaxTargetBacklog = maxTargetBacklog
	o.RecomputeBacklogUnit, o.MaxRecomputeFactor = recomputeBacklogUnit, maxRecomputeFactor
	o.Queue.MaxItems = maxQueuedRequests
	o.Queue.MinRate = prefill
	p.dispatcher = dispatch.New[chan placementResult](p.pool, p.index, p.picker, o)
	return p
}

// updateTargets takes the service's usable targets. What is known of targets that
// stay is kept; a new incarnation starts with nothing known of it.
func (p *enginePool) updateTargets(regs []directory.Registration, e *routing.Engine) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.memoryTokens = e.MemoryTokens
	p.index.SetCapacity(cacheMemoryShare * float64(e.MemoryTokens))
	if e.BytesPerToken > 0 {
		p.transferRate = transferLinkShare * e.LinkMbps * bytesPerMbit / float64(e.BytesPerToken)
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
		targets = append(targets, p.targetState(r))
	}
	for id, old := range p.registrations {
		if r, ok := next[id]; !ok || r.Incarnation() != old.Incarnation() {
			delete(p.breakers, id)
			delete(p.stallDetectors, id)
		}
	}
	p.registrations = next
	p.serviceTimes.Retain(func(id string) bool { _, there := next[id]; return there })
	p.pool = placement.NewPool(targets, "", placement.DefaultFilters())
	o := placement.DefaultOptions()
	o.MaxCandidates, o.EquivalentTokens = maxCandidates, p.serviceTimes.EquivalentTokens
	o.QueueSlack = queueSlack
	o.Domain, o.OutdatedPenalty = p.domain, outdatedWeightsPenalty
	o.TransferTokensPerSecond, o.TransferSetup = p.transferRate, transferSetup
	p.picker = placement.NewPicker(p.pool, p.index, o)
}

// targetState carries over what was observed of a target.
func (p *enginePool) targetState(r directory.Registration) placement.Target {
	t := placement.Target{Name: r.ID, PrefillTokensPerSecond: p.prefillRate}
	if p.pool != nil && p.registrations[r.ID].Incarnation() == r.Incarnation() {
		if i, ok := p.pool.Find(r.ID); ok {
			t = *p.pool.Target(i)
		}
	}
	t.PrefillTokensPerSecond = p.serviceTimes.Rate(r.ID)
	id := cacheIdentity(&r)
	t.Domain, t.Incarnation, t.Version = r.Domain, id.Incarnation, id.Version
	t.Limit, t.MemoryTokens = r.Slots, p.memoryTokens
	t.Outdated, t.Loading = hasOlderWeights(&r, p.bounds.preferred), p.isExcluded(&r)
	t.Cache = p.index.Observe(p.now(), id)
	return t
}

// cacheIdentity names what is known of a target's cache.
func cacheIdentity(r *directory.Registration) cacheindex.Identity {
	return cacheindex.Identity{Target: r.ID, Incarnation: strconv.FormatInt(r.StartedMs, 10), Version: versionKey(r.Versions)}
}

// acquire waits for a target. The refusal says why there is none.
func (p *enginePool) acquire(ctx context.Context, r *engineRequest) (*enginePlacement, *dispatch.Refusal[chan placementResult]) {
	r.Value = make(chan placementResult, 1)
	p.mu.Lock()
	p.nextID++
	r.ID = p.nextID
	p.refreshBreakers()
	p.refreshRateLimits()
	p.expireRefusalBackoffs()
	p.applyStep(p.dispatcher.Push(p.now(), r, p.rng))
	p.scheduleStep()
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
			p.endAttempt(out.placed, overload.Cancelled)
		}
	default:
	}
	return nil, nil
}

// scheduleStep looks at the queue every few milliseconds while requests wait.
func (p *enginePool) scheduleStep() {
	if p.stepScheduled || p.dispatcher.Waiting() == 0 {
		return
	}
	p.stepScheduled = true
	time.AfterFunc(queueStepInterval, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.stepScheduled = false
		p.step()
	})
}

func (p *enginePool) step() {
	p.refreshBreakers()
	p.refreshRateLimits()
	p.expireRefusalBackoffs()
	p.applyStep(p.dispatcher.Step(p.now(), p.rng))
	p.scheduleStep()
}

func (p *enginePool) applyStep(s dispatch.Step[chan placementResult]) {
	for i := range s.Sends {
		send := s.Sends[i]
		p.limits.recordSend(p.registrations[send.Identity.Target].Incarnation())
		b := p.breaker(send.Identity.Target)
		pl := &enginePlacement{
			target: p.registrations[send.Identity.Target], send: send, breaker: b, ticket: b.Begin(),
			heldTokens: send.Request.Placement.HeldTokens, eligibleTargets: p.pool.EligibleCount(),
		}
		if from, n, ok := p.picker.FetchSource(send.Decision, &send.Request.Placement); ok {
			pl.fetchSource, pl.fetchSourcePieces = p.registrations[p.pool.Target(from).Name].Address, n
		}
		send.Request.Value <- placementResult{placed: pl}
	}
	for i := range s.Refusals {
		refusal := s.Refusals[i]
		refusal.Request.Value <- placementResult{refusal: &refusal}
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

// refreshRateLimits shows the placement which targets may get a request now by the rates
// that they state.
func (p *enginePool) refreshRateLimits() {
	open := p.limits.limitedTargets()
	if len(open)+len(p.rateLimited) == 0 {
		return
	}
	for id := range p.rateLimited {
		p.setRateLimit(id, false, false)
	}
	p.rateLimited = map[string]bool{}
	for id, open := range open {
		if r, ok := p.registrations[id.ID]; ok && r.Incarnation() == id {
			p.rateLimited[id.ID] = true
			p.setRateLimit(id.ID, true, !open)
		}
	}
}

// setRateLimit shows the placement whether a target states a limit, and whether it may get
// no request now by that.
func (p *enginePool) setRateLimit(id string, limited, over bool) {
	if i, ok := p.pool.Find(id); ok {
		t := p.pool.Target(i)
		t.RateLimited, t.OverRate = limited, over
		p.pool.ApplyFilters(i)
	}
}

// recordFirstToken takes in the first token of an answer.
func (p *enginePool) recordFirstToken(pl *enginePlacement) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pl.firstTokenSeen {
		return
	}
	pl.firstTokenSeen = true
	p.observeFirstToken(pl)
	p.dispatcher.Answered(&pl.send)
	p.index.AddInsertedTokens(pl.send.Identity, float64(pl.newlyCachedTokens()))
	p.step()
}

// observeFirstToken learns from the first token of an answer. The caller holds p.mu.
func (p *enginePool) observeFirstToken(pl *enginePlacement) {
	now, r := p.now(), &pl.send.Request.Placement
	p.serviceTimes.Observe(pl.target.ID, servicetime.Sample{
		At: now, Elapsed: now - pl.send.SentAt, PromptTokens: float64(r.PromptTokens),
		UncachedTokens: max(0, float64(r.PromptTokens-r.LeadingTokens(max(pl.send.Decision.CachedPieces, pl.fetchSourcePieces)))),
		NoOtherWork:    pl.send.Decision.Queued == 0,
	})
	if l := p.serviceTimes.Latency(); l > 0 {
		p.dispatcher.SetLatency(l)
	}
	if i, ok := p.pool.Find(pl.target.ID); ok {
		p.pool.Target(i).PrefillTokensPerSecond = p.serviceTimes.Rate(pl.target.ID)
	}
}

// endAttempt takes in the end of an attempt and what it says of the target.
func (p *enginePool) endAttempt(pl *enginePlacement, result overload.Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pl.cancelledHere {
		result = overload.Cancelled
	}
	if !pl.firstTokenSeen {
		pl.firstTokenSeen = true
		p.dispatcher.Failed(&pl.send)
	}
	if i, ok := p.pool.Find(pl.target.ID); ok && p.registrations[pl.target.ID].Incarnation() == pl.target.Incarnation() {
		t := p.pool.Target(i)
		t.InFlight--
		t.HeldTokens -= pl.heldTokens
	}
	pl.breaker.End(p.now(), pl.ticket, result, p.rng)
	p.stallDetector(pl.target.ID).End(pl.stallID)
	delete(p.running, pl)
	p.step()
}

// recordUnreachable takes in that the target takes no connection.
func (p *enginePool) recordUnreachable(pl *enginePlacement) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pl.breaker.Unreachable(p.now(), p.rng)
}
