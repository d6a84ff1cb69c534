package entry

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/mastictray/mastictray/internal/config"
	"github.com/mastictray/mastictray/internal/openai"
	"github.com/mastictray/mastictray/internal/overload"
	"github.com/mastictray/mastictray/internal/placement"
)

const (
	// serviceRetryAfter is the hint when no target is usable.
	serviceRetryAfter = time.Second
	// serviceMaxWait bounds the wait between probes. Plain services answer no
	// load questions: only a probe finds out that one is back.
	serviceMaxProbeWait = time.Second
)

// servicePool decides for the requests of one pool of plain services.
type servicePool struct {
	clock  clock
	domain string

	mu        sync.Mutex
	cfg       config.Pool
	targets   []placement.ServiceTarget
	addresses map[string]string
	breakers  breakerSet
	draining  map[string]bool
	rng       *rand.Rand
}

// servicePlaced is a target chosen for one attempt.
type servicePlacedAttempt struct {
	target  string
	address string
	ticket  breakerTicket
}

func newServicePool(c clock, domain string) *servicePool {
	return &servicePool{
		clock:    c,
		domain:   domain,
		breakers: newBreakers(overload.BreakerConfig{MaxWait: serviceMaxProbeWait}),
		draining: make(map[string]bool),
		rng:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

func (p *servicePool) configure(cfg config.Pool, targets []config.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	outstanding := make(map[string]int)
	for _, t := range p.targets {
		outstanding[t.Name] = t.Outstanding
	}
	p.breakers.configure(targets)
	p.cfg, p.targets = cfg, p.targets[:0]
	p.addresses = make(map[string]string, len(targets))
	for _, t := range targets {
		p.addresses[t.Name] = t.Address
		p.targets = append(p.targets, placement.ServiceTarget{Name: t.Name, Domain: t.Domain, Outstanding: outstanding[t.Name]})
	}
}

// acquire chooses a target and counts the request there until release. The
// error is an *openai.Error: the request has not run.
func (p *servicePool) acquire(exclude string) (servicePlacedAttempt, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	i, ok := p.chooseTarget(exclude, func(b *targetBreaker) bool { return b.Ready(p.clock.now()) })
	if !ok {
		// A pool that was lost as a whole starts slowly as a whole. There is no
		// queue here: what is over the limits would be refused.
		i, ok = p.chooseTarget(exclude, func(b *targetBreaker) bool { return b.State() != overload.Open })
	}
	if !ok {
		return servicePlacedAttempt{}, &openai.Error{
			Status: http.StatusServiceUnavailable, Code: openai.CodeNoTarget, Outcome: openai.NotRun,
			Message: "no target can take the request", RetryAfter: serviceRetryAfter,
		}
	}
	p.targets[i].Outstanding++
	name := p.targets[i].Name
	return servicePlacedAttempt{target: name, address: p.addresses[name], ticket: p.breakers.begin(name)}, nil
}

// choose picks one of the targets whose breakers are taken. Callers hold mu.
func (p *servicePool) chooseTarget(exclude string, takes func(*targetBreaker) bool) (int, bool) {
	for i := range p.targets {
		t := &p.targets[i]
		t.Usable = !p.draining[t.Name] && takes(p.breakers.byTarget[t.Name])
	}
	return placement.LeastOutstanding(p.targets, p.domain, exclude, p.cfg.MaxConcurrent, p.rng)
}

// release ends an attempt and takes in what it says of the target. One that
// can't be connected to gets probes only, at once.
func (p *servicePool) release(pl servicePlacedAttempt, r overload.Result, unreachable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.targets {
		if p.targets[i].Name == pl.target {
			p.targets[i].Outstanding--
		}
	}
	now := p.clock.now()
	pl.ticket.end(now, r, p.rng)
	if unreachable {
		pl.ticket.breaker.Unreachable(now, p.rng)
	}
}

func (p *servicePool) setDraining(leaving func(name string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range p.targets {
		p.draining[t.Name] = leaving(t.Name)
	}
}
