package gateway

import (
	"context"
	"maps"
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
	"github.com/mastictray/mastictray/internal/runmove"
	"github.com/mastictray/mastictray/internal/servicetime"
	"github.com/mastictray/mastictray/internal/slowspell"
	"github.com/mastictray/mastictray/internal/targetcapacity"
	"github.com/mastictray/mastictray/internal/targetlimit"
	"github.com/mastictray/mastictray/internal/targetpause"
)

type (
	engineRequest = dispatch.Request[chan placementResult]
	engineSend    = dispatch.Send[chan placementResult]
	engineRefusal = dispatch.Refusal[chan placementResult]
)

// placementResult is the outcome of a queued request: exactly one field is set.
type placementResult struct {
	placed  *enginePlacement
	refusal *engineRefusal
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
	// isQuiet is set if the target had few other requests when the attempt was sent.
	isQuiet bool
	// stallID identifies the attempt to the stall detector of its target.
	stallID uint64
	// relay is the instance that relays the connection; empty for a direct one.
	relay string
	// progressAt is when data last arrived, or when the attempt was sent.
	progressAt time.Duration
	// cancel ends the attempt.
	cancel func()
	cancelPolicy
	// cancelledHere is set if this instance cancelled the attempt for a reason that says
	// nothing about the target's health.
	cancelledHere bool
	// firstTokenSeen is set once the first token has arrived.
	firstTokenSeen bool
	// continued is set if the run goes on here with memory from another target.
	continued bool
	// firstEventAt is when the first part of the response arrived, laterEvents the number of
	// parts since.
	firstEventAt time.Duration
	laterEvents  int
	// withdrawnAt is when the target was first seen to take no new requests for good; 0 if it
	// does.
	withdrawnAt time.Duration
	// paused is set while the response isn't read because its caller takes nothing, and
	// wasPaused once that has happened.
	paused, wasPaused bool
}

// engineService schedules the requests of one service of model servers. Its lock is held
// for decisions only, never during I/O.
type engineService struct {
	now         func() time.Duration
	name        string
	domain      string
	prefillRate float64
	// sharesSlots is set if the targets' slots are shared with the other instances; see
	// placement.Target.SharedSlots.
	sharesSlots bool
	// reportsTimeouts is set if targets that no instance has reached are reported to peers as
	// silent. In a large fleet each instance would otherwise lose a request to the timeout of
	// each such target.
	reportsTimeouts bool
	// slotTime is the mean time for which requests keep a slot; 0 until one has ended.
	slotTime time.Duration
	// transferRate is the number of tokens per second that one target can fetch from
	// another.
	transferRate float64

	mu            sync.Mutex
	registrations map[string]directory.Registration
	// isCanary holds the targets that are canaries.
	isCanary     map[string]bool
	memoryTokens int
	// sharesMemoryAs is the name under which this instance claims room in the targets' memory;
	// empty if instances don't share it.
	sharesMemoryAs string
	breakers       map[string]*overload.Breaker
	stallDetectors map[string]*overload.StallDetector
	running        map[*enginePlacement]struct{}
	// probing holds the stalled targets whose reachability is being probed.
	probing map[string]bool
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
	// capacities are the targets' rates as all instances measure them.
	capacities targetCapacities
	// slow are the targets that are slow for a while.
	slow   slowTargets
	bounds versionBounds
	reach  *domainReach
	// avoidedDomains are the unreachable domains as the placement filters know them.
	avoidedDomains map[string]bool
	// limits are the rate limits that targets advertise, rateLimited the targets that have
	// one.
	limits      *targetLimits
	rateLimited map[string]bool
	loading     map[string]bool
	// loadingSince is when a target was first seen to load weights.
	loadingSince map[string]time.Duration
	// pauses holds the targets that have refused a request as a whole and asked for a pause,
	// backoffs all that have refused one shortly before.
	pauses, backoffs *targetpause.Pauses[directory.Incarnation]
	// copies is the budget of copies of runs.
	copies *runmove.Copies
	// leaveMoveDelay is how long a run stays at a target that leaves until it is moved.
	leaveMoveDelay time.Duration
	// unreachable tracks the probes of unreachable targets.
	unreachable unreachableProbes
	// memoryFailures are the targets that ran out of memory.
	memoryFailures memoryFailures
	// stepScheduled is set while a timer for the next step runs.
	stepScheduled bool
}

func newEngineService(now func() time.Duration, name, domain string, prefill float64, limits *targetLimits, reach *domainReach, features Features) *engineService {
	s := &engineService{
		sharesSlots: features.Contention, reportsTimeouts: features.LargePools,
		now: now, name: name, domain: domain, prefillRate: prefill, limits: limits, reach: reach, serviceTimes: servicetime.New(prefill),
		capacities:    targetCapacities{table: targetcapacity.New(), updatedAt: never},
		slow:          slowTargets{detector: slowspell.New(), checkedAt: never},
		registrations: map[string]directory.Registration{}, breakers: map[string]*overload.Breaker{},
		stallDetectors: map[string]*overload.StallDetector{}, running: map[*enginePlacement]struct{}{}, stalledAt: map[string]time.Duration{},
		index:  cacheindex.New(cacheIndexBytes),
		rng:    rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		pauses: &targetpause.Pauses[directory.Incarnation]{}, backoffs: &targetpause.Pauses[directory.Incarnation]{},
		loadingSince: map[string]time.Duration{}, probing: map[string]bool{}, copies: runmove.NewCopies(runmove.MoveLimits),
	}
	s.rebuild(nil)
	o := dispatch.DefaultOptions()
	o.MaxTargetBacklog = maxTargetBacklog
	o.RecomputeBacklogUnit, o.MaxRecomputeFactor = recomputeBacklogUnit, maxRecomputeFactor
	o.Queue.MaxItems = maxQueuedRequests
	o.Queue.MinRate = prefill
	o.Queue.UrgencyFirst = features.Contention
	s.dispatcher = dispatch.New[chan placementResult](s.pool, s.index, s.picker, o)
	return s
}

// updateTargets sets the usable targets of the service. The state of targets that remain is
// kept; a new incarnation starts without any.
func (s *engineService) updateTargets(regs []directory.Registration, isCanary map[string]bool, e *routing.Engine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isCanary = isCanary
	s.memoryTokens = e.MemoryTokens
	s.index.SetCapacity(cacheMemoryShare * float64(e.MemoryTokens))
	if e.BytesPerToken > 0 {
		s.transferRate = transferLinkShare * e.LinkMbps * bytesPerMbit / float64(e.BytesPerToken)
	}
	s.rebuild(regs)
	s.dispatcher.ReplacePool(s.pool, s.picker)
	s.step()
}

// rebuild replaces the placement pool and the picker. The caller holds s.mu.
func (s *engineService) rebuild(regs []directory.Registration) {
	next := map[string]directory.Registration{}
	targets := make([]placement.Target, 0, len(regs))
	for _, r := range regs {
		next[r.ID] = r
		targets = append(targets, s.targetState(r))
	}
	for id, old := range s.registrations {
		r, ok := next[id]
		if ok && r.Incarnation() != old.Incarnation() || !ok && !s.hasRunning(id) {
			s.forget(id)
		}
	}
	s.registrations = next
	exists := func(id string) bool { _, ok := next[id]; return ok }
	s.serviceTimes.Retain(exists)
	s.slow.detector.Retain(exists)
	s.pool = placement.NewPool(targets, "", placement.DefaultFilters())
	s.replaceCapacityTargets(regs)
	o := placement.DefaultOptions()
	o.MaxCandidates, o.EquivalentTokens = maxCandidates, s.serviceTimes.EquivalentTokens
	o.QueueSlack, o.UnequalQueueSlack = queueSlack, unequalQueueSlack
	o.Domain, o.OutdatedPenalty = s.domain, outdatedWeightsPenalty
	o.TransferTokensPerSecond, o.TransferSetup = s.transferRate, transferSetup
	o.SlotTime = func() time.Duration { return s.slotTime }
	s.picker = placement.NewPicker(s.pool, s.index, o)
}

// hasRunning reports whether attempts run at a target. The caller holds s.mu.
func (s *engineService) hasRunning(id string) bool {
	for pl := range s.running {
		if pl.target.ID == id {
			return true
		}
	}
	return false
}

// forget drops what was observed of a target that is not usable any more. While attempts run
// there, it is kept: they have to be cancelled if the target falls silent. The caller holds s.mu.
func (s *engineService) forget(id string) {
	delete(s.breakers, id)
	delete(s.stallDetectors, id)
}

// targetState returns the placement target for a registration, with the state that was
// observed of the same incarnation.
func (s *engineService) targetState(r directory.Registration) placement.Target {
	t := placement.Target{Name: r.ID, PrefillTokensPerSecond: s.prefillRate}
	if s.pool != nil && s.registrations[r.ID].Incarnation() == r.Incarnation() {
		if i, ok := s.pool.Find(r.ID); ok {
			t = *s.pool.Target(i)
		}
	}
	t.PrefillTokensPerSecond = s.serviceTimes.Rate(r.ID)
	t.SlowStartFactor = s.memoryFailures.slowStartFactor(s.now(), &r)
	id := cacheIdentity(&r)
	t.Domain, t.Incarnation, t.Version, t.Software = r.Domain, id.Incarnation, id.Version, r.SoftwareVersion
	t.Unreachable = s.avoidedDomains[r.Domain]
	if s.sharesMemoryAs != "" && t.Memory == nil {
		t.Memory = placement.NewMemoryShare(s.sharesMemoryAs)
	}
	t.Limit, t.MemoryTokens, t.Canary = r.Slots, s.memoryTokens, s.isCanary[r.ID]
	if s.sharesSlots {
		t.SharedSlots = r.Slots
	}
	t.Outdated, t.Loading = hasOlderWeights(&r, s.bounds.preferred), s.isExcluded(&r)
	t.Cache = s.index.Observe(s.now(), id)
	return t
}

// cacheIdentity returns the identity under which the contents of a target's cache are
// indexed.
func cacheIdentity(r *directory.Registration) cacheindex.Identity {
	return cacheindex.Identity{Target: r.ID, Incarnation: strconv.FormatInt(r.StartedMs, 10), Version: versionKey(r.Versions)}
}

// acquire waits for a target. It returns a refusal if there is none, and neither a target
// nor a refusal if ctx ended.
func (s *engineService) acquire(ctx context.Context, r *engineRequest) (*enginePlacement, *engineRefusal) {
	r.Value = make(chan placementResult, 1)
	s.mu.Lock()
	s.nextID++
	r.ID = s.nextID
	s.refreshEligibility()
	s.applyStep(s.dispatcher.Push(s.now(), r, s.rng))
	s.scheduleStep()
	s.mu.Unlock()
	select {
	case out := <-r.Value:
		return out.placed, out.refusal
	case <-ctx.Done():
	}
	s.mu.Lock()
	s.dispatcher.Cancel(r.Account, r.ID)
	s.mu.Unlock()
	select {
	case out := <-r.Value: // a target was chosen in the meantime
		if out.placed != nil {
			s.endAttempt(out.placed, overload.Cancelled)
		}
	default:
	}
	return nil, nil
}

// scheduleStep runs a step after queueStepInterval if requests wait. The caller holds s.mu.
func (s *engineService) scheduleStep() {
	if s.stepScheduled || s.dispatcher.Waiting() == 0 {
		return
	}
	s.stepScheduled = true
	time.AfterFunc(queueStepInterval, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.stepScheduled = false
		s.step()
	})
}

// step sends and refuses the waiting requests that are due. The caller holds s.mu.
func (s *engineService) step() {
	s.refreshEligibility()
	s.applyStep(s.dispatcher.Step(s.now(), s.rng))
	s.scheduleStep()
}

// applyStep passes the results of a dispatcher step to the waiting requests. The caller
// holds s.mu.
func (s *engineService) applyStep(step dispatch.Step[chan placementResult]) {
	for i := range step.Sends {
		send := step.Sends[i]
		s.limits.recordSend(s.registrations[send.Identity.Target].Incarnation())
		b := s.breaker(send.Identity.Target)
		pl := &enginePlacement{
			target: s.registrations[send.Identity.Target], send: send, breaker: b, ticket: b.Begin(),
			heldTokens: send.Request.Placement.HeldTokens, eligibleTargets: s.pool.EligibleCount(),
		}
		if from, n, ok := s.picker.FetchSource(send.Decision, &send.Request.Placement); ok {
			pl.fetchSource, pl.fetchSourcePieces = s.registrations[s.pool.Target(from).Name].Address, n
		}
		t := s.pool.Target(send.Target)
		pl.isQuiet = float64(t.InFlight+t.PeersInFlight-1) <= quietFraction*float64(t.Limit)
		send.Request.Value <- placementResult{placed: pl}
	}
	for i := range step.Refusals {
		refusal := step.Refusals[i]
		refusal.Request.Value <- placementResult{refusal: &refusal}
	}
}

// refreshEligibility updates the placement filters with what changes by time or by other
// services' requests. The caller holds s.mu.
func (s *engineService) refreshEligibility() {
	s.refreshBreakers()
	s.refreshDomains()
	s.refreshRateLimits()
	s.expirePauses()
	s.refreshSlowStarts()
	s.refreshSlowTargetsIfDue()
}

// refreshDomains updates the placement filters with the domains that can't be reached. The caller
// holds s.mu.
func (s *engineService) refreshDomains() {
	unreachable := s.reach.unreachableDomains()
	if maps.Equal(unreachable, s.avoidedDomains) {
		return
	}
	s.avoidedDomains = unreachable
	for i := range s.pool.Len() {
		if t := s.pool.Target(i); t.Unreachable != unreachable[t.Domain] {
			t.Unreachable = unreachable[t.Domain]
			s.pool.ApplyFilters(i)
		}
	}
}

// breaker returns the circuit breaker of a target. The caller holds s.mu.
func (s *engineService) breaker(id string) *overload.Breaker {
	b := s.breakers[id]
	if b == nil {
		b = overload.NewBreaker(overload.BreakerConfig{})
		s.breakers[id] = b
	}
	return b
}

// refreshBreakers updates the placement filters with the targets whose breakers allow a
// request now. The caller holds s.mu.
func (s *engineService) refreshBreakers() {
	now := s.now()
	for id, b := range s.breakers {
		i, ok := s.pool.Find(id)
		if !ok {
			continue
		}
		t := s.pool.Target(i)
		if open := !b.Ready(now); open != t.BreakerOpen {
			t.BreakerOpen = open
			s.pool.ApplyFilters(i)
		}
	}
}

// refreshRateLimits updates the placement filters with the targets whose advertised rate
// limits allow a request now. The caller holds s.mu.
func (s *engineService) refreshRateLimits() {
	permissions := s.limits.limitedTargets(s.name, s.registrations)
	if len(permissions)+len(s.rateLimited) == 0 {
		return
	}
	for id := range s.rateLimited {
		s.setPermission(id, targetlimit.Permission{CanSend: true})
	}
	s.rateLimited = map[string]bool{}
	for id, p := range permissions {
		if r, ok := s.registrations[id.ID]; ok && r.Incarnation() == id {
			s.rateLimited[id.ID] = true
			s.setPermission(id.ID, p)
		}
	}
}

// setPermission sets what may be sent to a target now. The caller holds s.mu.
func (s *engineService) setPermission(id string, p targetlimit.Permission) {
	i, ok := s.pool.Find(id)
	if !ok {
		return
	}
	t := s.pool.Target(i)
	t.RateLimited, t.OverRate = p.RateLimited, !p.CanSend
	r := s.registrations[id]
	t.Limit = r.Slots
	if p.ShareSlots {
		t.Limit, _ = s.limits.maxInFlight(&r)
		t.OverRate = t.OverRate || t.Limit == 0
	}
	s.pool.ApplyFilters(i)
}

// recordFirstToken records the first token of a response. Further calls for the same
// attempt have no effect.
func (s *engineService) recordFirstToken(pl *enginePlacement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if pl.firstTokenSeen {
		return
	}
	pl.firstTokenSeen = true
	if !pl.continued {
		s.observeFirstToken(pl)
	}
	s.dispatcher.Answered(&pl.send)
	s.index.AddInsertedTokens(pl.send.Identity, float64(pl.newlyCachedTokens()))
	s.step()
}

// quietFraction is the number of other requests at a target, as a fraction of its slots, up to
// which a first token tells its rate. With more, prompts wait for slots and for prefills that
// aren't known here yet, and all targets would seem slow, each by another factor.
const quietFraction = 0.125

// observeFirstToken updates the service time estimates with the first token of a response.
// The caller holds s.mu.
func (s *engineService) observeFirstToken(pl *enginePlacement) {
	now, r := s.now(), &pl.send.Request.Placement
	sample := servicetime.Sample{
		At: now, Elapsed: now - pl.send.SentAt, PromptTokens: float64(r.PromptTokens),
		UncachedTokens: max(0, float64(r.PromptTokens-r.LeadingTokens(max(pl.send.Decision.CachedPieces, pl.fetchSourcePieces)))),
		NoOtherWork:    pl.send.Decision.Queued == 0 && (pl.isQuiet || !s.sharesSlots),
	}
	if pl.isQuiet {
		s.measureCapacity(pl, sample)
	}
	s.slow.detector.Answered(now, s.waitOf(now, pl))
	s.serviceTimes.Observe(pl.target.ID, sample)
	if l := s.serviceTimes.Latency(); l > 0 {
		s.dispatcher.SetLatency(l)
	}
	if i, ok := s.pool.Find(pl.target.ID); ok {
		s.pool.SetPrefillRate(i, s.serviceTimes.Rate(pl.target.ID))
	}
}

// endAttempt records the end of an attempt and reports its result to the target's breaker.
func (s *engineService) endAttempt(pl *enginePlacement, result overload.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if pl.cancelledHere || pl.wasPaused && result == overload.Failed {
		result = overload.Cancelled
	}
	if !pl.firstTokenSeen {
		pl.firstTokenSeen = true
		s.dispatcher.Failed(&pl.send)
	} else {
		s.observeSlotTime(pl)
	}
	if i, ok := s.pool.Find(pl.target.ID); ok && s.registrations[pl.target.ID].Incarnation() == pl.target.Incarnation() {
		t := s.pool.Target(i)
		t.InFlight--
		t.HeldTokens -= pl.heldTokens
	}
	pl.breaker.End(s.now(), pl.ticket, result, s.rng)
	s.stallDetector(pl.target.ID).End(pl.stallID)
	delete(s.running, pl)
	if _, usable := s.registrations[pl.target.ID]; !usable && !s.hasRunning(pl.target.ID) {
		s.forget(pl.target.ID)
	}
	s.step()
}

// recordUnreachable records that no connection to the target could be made.
func (s *engineService) recordUnreachable(pl *enginePlacement, err error) {
	s.reach.failed(pl.target.Domain, pl.target.ID, err)
	s.mu.Lock()
	defer s.mu.Unlock()
	pl.breaker.Unreachable(s.now(), s.rng)
	if s.reportsTimeouts && isTimeout(err) && !s.avoidedDomains[pl.target.Domain] {
		s.stalledAt[pl.target.ID] = s.now()
	}
}

// wasCancelledHere reports whether this instance cancelled an attempt for a reason that says
// nothing about its target.
func (s *engineService) wasCancelledHere(pl *enginePlacement) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return pl.cancelledHere
}

// firstTokenLatency returns the time to first token beyond the queue and the prefill.
func (s *engineService) firstTokenLatency() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(minFirstTokenLatency, s.serviceTimes.Latency())
}

// minFirstTokenLatency is assumed until there are samples, and is the least that counts.
const minFirstTokenLatency = 30 * time.Millisecond
