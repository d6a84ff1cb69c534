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

// placementResult is the outcome of a queued request: exactly one field is set.
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
	// fetchSource is the address of a target to fetch pieces of the prompt from; empty for
	// none.
	fetchSource string
	// fetchSourcePieces is the number of leading pieces that the fetch source is known to
	// have.
	fetchSourcePieces int
	// eligibleTargets is the number of targets that could be chosen.
	eligibleTargets int
	// stallID identifies the attempt to the stall detector of its target.
	stallID uint64
	// cancel ends the attempt.
	cancel func()
	cancelPolicy
	// cancelledHere is set if this instance cancelled the attempt for a reason that says
	// nothing about the target's health.
	cancelledHere bool
	// firstTokenSeen is set once the first token has arrived.
	firstTokenSeen bool
}

// enginePool schedules the requests of one service of model servers. Its lock is held for
// decisions only, never during I/O.
type enginePool struct {
	now         func() time.Duration
	domain      string
	prefillRate float64
	// transferRate is the number of tokens per second that one target can fetch from
	// another.
	transferRate float64

	mu             sync.Mutex
	registrations  map[string]directory.Registration
	memoryTokens   int
	breakers       map[string]*overload.Breaker
	stallDetectors map[string]*overload.StallDetector
	running        map[*enginePlacement]struct{}
	// stalledAt is when a target was found to have stalled.
	stalledAt  map[string]time.Duration
	pool       *placement.Pool
	picker     *placement.Picker
	index      *cacheindex.Index
	dispatcher *dispatch.Dispatcher[chan placementResult]
	rng        *rand.Rand
	nextID     uint64
	// serviceTimes estimates the targets' times to first token.
	serviceTimes *servicetime.Estimator
	bounds       versionBounds
	// limits are the rate limits that targets advertise, rateLimited the targets that have
	// one.
	limits      *targetLimits
	rateLimited map[string]bool
	loading     map[string]bool
	// loadingSince is when a target was first seen to load weights.
	loadingSince map[string]time.Duration
	// refusedAt is when a target last refused a request as a whole.
	refusedAt map[string]time.Duration
	// stepScheduled is set while a timer for the next step runs.
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

// updateTargets sets the usable targets of the service. The state of targets that remain is
// kept; a new incarnation starts without any.
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

// rebuild replaces the placement pool and the picker. The caller holds p.mu.
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
	p.serviceTimes.Retain(func(id string) bool { _, exists := next[id]; return exists })
	p.pool = placement.NewPool(targets, "", placement.DefaultFilters())
	o := placement.DefaultOptions()
	o.MaxCandidates, o.EquivalentTokens = maxCandidates, p.serviceTimes.EquivalentTokens
	o.QueueSlack = queueSlack
	o.Domain, o.OutdatedPenalty = p.domain, outdatedWeightsPenalty
	o.TransferTokensPerSecond, o.TransferSetup = p.transferRate, transferSetup
	p.picker = placement.NewPicker(p.pool, p.index, o)
}

// targetState returns the placement target for a registration, with the state that was
// observed of the same incarnation.
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

// cacheIdentity returns the identity under which the contents of a target's cache are
// indexed.
func cacheIdentity(r *directory.Registration) cacheindex.Identity {
	return cacheindex.Identity{Target: r.ID, Incarnation: strconv.FormatInt(r.StartedMs, 10), Version: versionKey(r.Versions)}
}

// acquire waits for a target. It returns a refusal if there is none, and neither a target
// nor a refusal if ctx ended.
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
	case out := <-r.Value: // a target was chosen in the meantime
		if out.placed != nil {
			p.endAttempt(out.placed, overload.Cancelled)
		}
	default:
	}
	return nil, nil
}

// scheduleStep runs a step after queueStepInterval if requests wait. The caller holds p.mu.
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

// step sends and refuses the waiting requests that are due. The caller holds p.mu.
func (p *enginePool) step() {
	p.refreshBreakers()
	p.refreshRateLimits()
	p.expireRefusalBackoffs()
	p.applyStep(p.dispatcher.Step(p.now(), p.rng))
	p.scheduleStep()
}

// applyStep passes the results of a dispatcher step to the waiting requests. The caller
// holds p.mu.
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

// breaker returns the circuit breaker of a target. The caller holds p.mu.
func (p *enginePool) breaker(id string) *overload.Breaker {
	b := p.breakers[id]
	if b == nil {
		b = overload.NewBreaker(overload.BreakerConfig{})
		p.breakers[id] = b
	}
	return b
}

// refreshBreakers updates the placement filters with the targets whose breakers allow a
// request now. The caller holds p.mu.
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

// refreshRateLimits updates the placement filters with the targets whose advertised rate
// limits allow a request now. The caller holds p.mu.
func (p *enginePool) refreshRateLimits() {
	canSend := p.limits.limitedTargets()
	if len(canSend)+len(p.rateLimited) == 0 {
		return
	}
	for id := range p.rateLimited {
		p.setRateLimit(id, false, false)
	}
	p.rateLimited = map[string]bool{}
	for id, allowed := range canSend {
		if r, ok := p.registrations[id.ID]; ok && r.Incarnation() == id {
			p.rateLimited[id.ID] = true
			p.setRateLimit(id.ID, true, !allowed)
		}
	}
}

// setRateLimit sets whether a target advertises a rate limit and whether that limit allows
// no request now. The caller holds p.mu.
func (p *enginePool) setRateLimit(id string, limited, overRate bool) {
	if i, ok := p.pool.Find(id); ok {
		t := p.pool.Target(i)
		t.RateLimited, t.OverRate = limited, overRate
		p.pool.ApplyFilters(i)
	}
}

// recordFirstToken records the first token of a response. Further calls for the same
// attempt have no effect.
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

// observeFirstToken updates the service time estimates with the first token of a response.
// The caller holds p.mu.
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

// endAttempt records the end of an attempt and reports its result to the target's breaker.
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

// recordUnreachable records that no connection to the target could be made.
func (p *enginePool) recordUnreachable(pl *enginePlacement) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pl.breaker.Unreachable(p.now(), p.rng)
}
