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
	// crossDomainDelay is what placement counts for a target elsewhere.
	crossDomainDelay = 1500 * time.Microsecond
)

type (
	dispatchRequest = dispatch.Request[chan placementResult]
	dispatchSend    = dispatch.Send[chan placementResult]
)

// placed is a target chosen for one attempt.
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

// enginePool decides for the requests of one engine pool. Its lock is held for
// decisions only, never over I/O.
type enginePool struct {
	clock  clock
	domain string

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
	// followed are the targets whose retained cache events have been read.
	eventsRead map[string]bool
	// active is the weights version that new requests count on.
	active string
	// returned is when a target came back as a new incarnation.
	restartedAt map[string]time.Duration
	nextID      uint64
	// watchers are called when a target is found to answer no questions.
	unresponsiveCallbacks map[string]map[uint64]func()
	// started is set once run is going; the pools' lock guards it.
	started bool
}

func newEnginePool(c clock, domain string) *enginePool {
	return &enginePool{
		clock:                 c,
		domain:                domain,
		addresses:             make(map[string]string),
		breakers:              newBreakers(overload.BreakerConfig{}),
		restartedAt:           make(map[string]time.Duration),
		eventsRead:            make(map[string]bool),
		unresponsiveCallbacks: make(map[string]map[uint64]func()),
		cacheIndex:            cacheindex.New(cacheIndexBytes),
		rng:                   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// configure puts a pool's configuration into force and keeps what is known of
// the targets that stay.
func (p *enginePool) configure(cfg config.Pool, model config.Model, targets []config.Target, routers int) {
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
	place := placement.DefaultOptions()
	place.Domain, place.CrossDomainDelay = p.domain, crossDomainDelay
	p.picker = placement.NewPicker(p.pool, p.cacheIndex, place)
	p.breakers.configure(targets)
	p.refreshBreakers()
	p.updateActiveVersion()
	p.updateCacheStateKnown()
	if p.dispatcher != nil {
		p.dispatcher.ReplacePool(p.pool, p.picker)
		return
	}
	o := dispatch.DefaultOptions()
	o.Queue.MaxItems = maxQueuedRequests
	o.Queue.MinRate = cfg.PrefillTokensPerSecond * float64(len(targets)) / float64(max(routers, 1))
	p.dispatcher = dispatch.New[chan placementResult](p.pool, p.cacheIndex, p.picker, o)
}

// keep carries a target's observed state over a change of configuration. A
// target at another address is a new one: nothing is known of it. A target
// not heard of yet counts as serving the wanted version: the target itself
// refuses a request that counts on another.
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

// activate chooses the version that new requests count on. It is to run after
// every change of who takes work: when the only target of a version is lost,
// requests that wait for that version would wait until their deadline. Callers
// hold mu.
func (p *enginePool) updateActiveVersion() {
	served := make(map[string]int)
	for i := range p.pool.Len() {
		if t := p.pool.Target(i); !t.Draining && !t.BreakerOpen {
			served[t.Version]++
		}
	}
	p.active = placement.ActiveVersion(served, p.model.Version, p.cfg.ServingFloor)
	p.pool.SetDesiredVersion(p.active)
}

// activeVersion is the version that a new request counts on.
func (p *enginePool) activeVersion() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.active
}

// modelNow is the model as configured.
func (p *enginePool) currentModel() config.Model {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.model
}

// acquire waits in the fair queue and returns the chosen target. The error is
// an *openai.Error: the request has not run.
func (p *enginePool) acquire(ctx context.Context, r *dispatchRequest) (placedAttempt, error) {
	r.Value = make(chan placementResult, 1)
	p.mu.Lock()
	p.nextID++
	r.ID = p.nextID
	p.refreshBreakers()
	p.deliverStep(p.dispatcher.Push(p.clock.now(), r, p.rng))
	p.mu.Unlock()
	select {
	case x := <-r.Value:
		return x.attempt, x.err
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.dispatcher.Cancel(r.Account, r.ID) {
		if x := <-r.Value; x.err == nil {
			p.recordNotPrefilledLocked(x.attempt, overload.Cancelled)
		}
	}
	return placedAttempt{}, ctx.Err()
}

// acquireOn takes a given target, for a request that may go nowhere else. The
// error is an *openai.Error: the request has not run.
func (p *enginePool) acquireOn(name string, r *dispatchRequest) (placedAttempt, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refreshBreakers()
	s, ok := p.dispatcher.SendTo(p.clock.now(), r, name)
	if !ok {
		return placedAttempt{}, queueRefusal(dispatch.ReasonNoTarget, time.Second)
	}
	return p.beginAttempt(s), nil
}

// targets names the targets that take new work, without the excluded one.
func (p *enginePool) availableTargets(exclude string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refreshBreakers()
	names := make([]string, 0, p.pool.Len())
	for i := range p.pool.Len() {
		if name := p.pool.Target(i).Name; name != exclude && !p.pool.Rejected(i) {
			names = append(names, name)
		}
	}
	return names
}

// run steps the dispatcher while requests wait, until ctx ends.
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
			p.refreshBreakers()
			p.deliverStep(p.dispatcher.Step(p.clock.now(), p.rng))
		}
		p.mu.Unlock()
	}
}

// perform hands a step's decisions to the requests that wait for them. Callers
// hold mu.
func (p *enginePool) deliverStep(step dispatch.Step[chan placementResult]) {
	for _, x := range step.Refusals {
		x.Request.Value <- placementResult{err: queueRefusal(x.Reason, x.RetryAfter)}
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

// served takes in the first token of an answer: the target holds the whole
// chain and has done the work.
func (p *enginePool) recordPrefilled(pl placedAttempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dispatcher.Answered(&pl.dispatchSend)
	p.endAttempt(pl, overload.Succeeded)
}

// lost takes in an attempt that the target did not prefill.
func (p *enginePool) recordNotPrefilled(pl placedAttempt, r overload.Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordNotPrefilledLocked(pl, r)
}

// fail is lost for callers that hold mu.
func (p *enginePool) recordNotPrefilledLocked(pl placedAttempt, r overload.Result) {
	p.dispatcher.Failed(&pl.dispatchSend)
	p.endAttempt(pl, r)
}

// addressOf is where a target is reached.
func (p *enginePool) addressOf(name string) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	address, ok := p.addresses[name]
	return address, ok
}

// explain says where a request would go and why, without sending it.
func (p *enginePool) explain(req placement.Request) (placement.Explanation, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.picker == nil {
		return placement.Explanation{}, errors.New("explain: pool not configured")
	}
	return p.picker.Explain(p.clock.now(), &req, p.rng), nil
}
