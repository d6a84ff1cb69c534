package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/cacheindex"
	"github.com/mastictray/mastictray/internal/config"
	"github.com/mastictray/mastictray/internal/dispatch"
	"github.com/mastictray/mastictray/internal/fairqueue"
	"github.com/mastictray/mastictray/internal/openai"
	"github.com/mastictray/mastictray/internal/overload"
	"github.com/mastictray/mastictray/internal/placement"
)

const (
	cacheIndexBytes   = 16 << 20
	maxQueuedRequests = 4096
	dispatchInterval  = 5 * time.Millisecond
	// crossDomainDelay is the network delay that placement adds for targets in
	// other failure domains.
	crossDomainDelay = 1500 * time.Microsecond
)

type (
	dispatchRequest = dispatch.Request[chan placementResult]
	dispatchSend    = dispatch.Send[chan placementResult]
)

// placedAttempt is an attempt and the target chosen for it.
type placedAttempt struct {
	dispatchSend
	target  string
	address string
	version string
	ticket  breakerTicket
}

type placementResult struct {
	attempt placedAttempt
	err     error
}

// enginePool queues and places the requests of one engine pool. mu is never
// held during I/O.
type enginePool struct {
	clock         clock
	domain        string
	announcements *announcements

	mu         sync.Mutex
	cfg        config.Pool
	model      config.Model
	addresses  map[string]string
	breakers   breakerSet
	pool       *placement.Pool
	picker     *placement.Picker
	cacheIndex *cacheindex.Index
	dispatcher *dispatch.Dispatcher[chan placementResult]
	rng        *rand.Rand
	// announcedRevision is the revision of the announcements that announcedPool shows.
	announcedRevision uint64
	announcedPool     *placement.Pool
	// eventsRead has the targets whose retained cache events have been read.
	eventsRead map[string]bool
	// active is the weights version that new requests require.
	active string
	// slowStartSince is when each target was first seen with a new incarnation
	// or version, whose cache is empty.
	slowStartSince map[string]time.Duration
	nextID         uint64
	// unresponsiveCallbacks are called when a target stops answering load
	// queries, by target and callback id.
	unresponsiveCallbacks map[string]map[uint64]func()
	// started is set once run has been started. It is guarded by the lock of
	// pools, not by mu.
	started bool
}

func newEnginePool(c clock, domain string) *enginePool {
	return &enginePool{
		clock:                 c,
		domain:                domain,
		announcements:         newAnnouncements(c),
		addresses:             make(map[string]string),
		breakers:              newBreakers(overload.BreakerConfig{}),
		slowStartSince:        make(map[string]time.Duration),
		eventsRead:            make(map[string]bool),
		unresponsiveCallbacks: make(map[string]map[uint64]func()),
		cacheIndex:            cacheindex.New(cacheIndexBytes),
		rng:                   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// configure applies a pool's configuration. State observed of targets that
// remain is kept.
func (p *enginePool) configure(cfg config.Pool, model config.Model, targets []config.Target, instanceCount int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]placement.Target, 0, len(targets))
	address := make(map[string]string, len(targets))
	for _, t := range targets {
		address[t.Name] = t.Address
		list = append(list, p.carryOverTarget(t, cfg, model))
	}
	p.cfg, p.model, p.addresses = cfg, model, address
	p.pool = placement.NewPool(list, model.Version, placement.DefaultFilters())
	placementOptions := placement.DefaultOptions()
	placementOptions.Domain, placementOptions.CrossDomainDelay = p.domain, crossDomainDelay
	p.picker = placement.NewPicker(p.pool, p.cacheIndex, placementOptions)
	p.breakers.configure(targets)
	p.refreshTargets()
	p.updateActiveVersion()
	p.updateCacheStateKnown()
	if p.dispatcher != nil {
		p.dispatcher.ReplacePool(p.pool, p.picker)
		return
	}
	dispatchOptions := dispatch.DefaultOptions()
	dispatchOptions.Queue.MaxItems = maxQueuedRequests
	dispatchOptions.Queue.MinRate = cfg.PrefillTokensPerSecond * float64(len(targets)) / float64(max(instanceCount, 1))
	p.dispatcher = dispatch.New[chan placementResult](p.pool, p.cacheIndex, p.picker, dispatchOptions)
}

// carryOverTarget returns a target for the new configuration, with the state
// observed so far. A target with a new address starts without any. Until its
// first load report, a target is assumed to serve the desired version; if it
// does not, it refuses the request itself.
func (p *enginePool) carryOverTarget(t config.Target, cfg config.Pool, model config.Model) placement.Target {
	fresh := placement.Target{
		Name: t.Name, Domain: t.Domain, Version: model.Version,
		PrefillTokensPerSecond: cfg.PrefillTokensPerSecond,
	}
	if p.pool == nil || p.addresses[t.Name] != t.Address {
		p.cacheIndex.RemoveTarget(t.Name)
		return fresh
	}
	i, ok := p.pool.Find(t.Name)
	if !ok {
		return fresh
	}
	kept := *p.pool.Target(i)
	kept.Domain, kept.PrefillTokensPerSecond = t.Domain, cfg.PrefillTokensPerSecond
	return kept
}

// updateActiveVersion chooses the version that new requests require. It must
// run after every change to the set of available targets: when the only target
// of a version is lost, requests for that version would otherwise wait until
// their deadline. p.mu must be held.
func (p *enginePool) updateActiveVersion() {
	served := make(map[string]int)
	for i := range p.pool.Len() {
		if t := p.pool.Target(i); !t.Draining && !t.Leaving && !t.BreakerOpen && !t.Paused {
			served[t.Version]++
		}
	}
	p.active = placement.ActiveVersion(served, p.model.Version, p.cfg.ServingFloor)
	p.pool.SetDesiredVersion(p.active)
}

// activeVersion returns the weights version that a new request requires.
func (p *enginePool) activeVersion() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refreshAnnouncements()
	return p.active
}

// currentModel returns the model's current configuration.
func (p *enginePool) currentModel() config.Model {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.model
}

// acquire waits in the fair queue until a target is chosen. If it returns an
// *openai.Error or the context's error, the request has not run.
func (p *enginePool) acquire(ctx context.Context, r *dispatchRequest) (placedAttempt, error) {
	r.Value = make(chan placementResult, 1)
	p.mu.Lock()
	p.nextID++
	r.ID = p.nextID
	p.refreshTargets()
	p.deliverStep(p.dispatcher.Push(p.clock.now(), r, p.rng))
	p.mu.Unlock()
	select {
	case result := <-r.Value:
		return result.attempt, result.err
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.dispatcher.Cancel(r.Account, r.ID) {
		if result := <-r.Value; result.err == nil {
			p.recordNotPrefilledLocked(result.attempt, overload.Cancelled)
		}
	}
	return placedAttempt{}, ctx.Err()
}

// acquireOn places a request on the named target without queueing. If it
// returns an error, which is an *openai.Error, the request has not run.
func (p *enginePool) acquireOn(name string, r *dispatchRequest) (placedAttempt, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refreshTargets()
	s, ok := p.dispatcher.SendTo(p.clock.now(), r, name)
	if !ok {
		return placedAttempt{}, queueRefusal(dispatch.ReasonNoTarget, p.noTargetRetryAfter(time.Second))
	}
	return p.beginAttempt(s), nil
}

// availableTargets returns the names of the targets that accept new work,
// without the excluded one.
func (p *enginePool) availableTargets(exclude string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refreshTargets()
	names := make([]string, 0, p.pool.Len())
	for i := range p.pool.Len() {
		if name := p.pool.Target(i).Name; name != exclude && !p.pool.Rejected(i) {
			names = append(names, name)
		}
	}
	return names
}

// run lets the dispatcher make a step at every interval while requests wait,
// until ctx ends.
func (p *enginePool) run(ctx context.Context) {
	tick := time.NewTicker(dispatchInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		p.mu.Lock()
		if p.dispatcher.Waiting() > 0 {
			p.refreshTargets()
			p.deliverStep(p.dispatcher.Step(p.clock.now(), p.rng))
		}
		p.mu.Unlock()
	}
}

// deliverStep passes a step's decisions to the waiting requests. p.mu must be
// held.
func (p *enginePool) deliverStep(step dispatch.Step[chan placementResult]) {
	for _, refusal := range step.Refusals {
		if refusal.Reason == dispatch.ReasonNoTarget {
			refusal.RetryAfter = p.noTargetRetryAfter(refusal.RetryAfter)
		}
		refusal.Request.Value <- placementResult{err: queueRefusal(refusal.Reason, refusal.RetryAfter)}
	}
	for _, s := range step.Sends {
		s.Request.Value <- placementResult{attempt: p.beginAttempt(s)}
	}
}

func queueRefusal(reason fairqueue.Reason, retryAfter time.Duration) *openai.Error {
	e := &openai.Error{
		Status: http.StatusServiceUnavailable, Code: openai.CodeOverloaded, Outcome: openai.NotRun,
		Message: "the queue is full", RetryAfter: retryAfter,
	}
	switch reason {
	case fairqueue.ReasonDeadline:
		e.Code, e.Message = openai.CodeDeadline, "the answer would not begin before its deadline"
	case dispatch.ReasonNoTarget:
		e.Code, e.Message = openai.CodeNoTarget, "no target can take the request"
	}
	return e
}

// recordPrefilled records that the first token of a response arrived: the
// target has prefilled the prompt and caches all its pieces.
func (p *enginePool) recordPrefilled(pl placedAttempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dispatcher.Answered(&pl.dispatchSend)
	p.endAttempt(pl, overload.Succeeded)
}

// recordNotPrefilled records an attempt that ended before the target prefilled
// the prompt.
func (p *enginePool) recordNotPrefilled(pl placedAttempt, r overload.Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordNotPrefilledLocked(pl, r)
}

// recordNotPrefilledLocked is recordNotPrefilled with p.mu held.
func (p *enginePool) recordNotPrefilledLocked(pl placedAttempt, r overload.Result) {
	p.dispatcher.Failed(&pl.dispatchSend)
	p.endAttempt(pl, r)
}

// addressOf returns a target's address.
func (p *enginePool) addressOf(name string) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	address, ok := p.addresses[name]
	return address, ok
}

// explain returns which target would be chosen for a request and why, without
// sending it.
func (p *enginePool) explain(req placement.Request) (placement.Explanation, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.picker == nil {
		return placement.Explanation{}, errors.New("explain: pool not configured")
	}
	p.refreshTargets()
	return p.picker.Explain(p.clock.now(), &req, p.rng), nil
}
