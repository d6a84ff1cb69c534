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
	// serviceRetryAfter is the Retry-After value when no target is usable.
	serviceRetryAfter = time.Second
	// serviceMaxProbeWait bounds the time between probes. Plain services answer
	// no load queries, so only a probe detects that a target has recovered.
	serviceMaxProbeWait = time.Second
)

// servicePool chooses targets for the requests of one pool of plain services.
type servicePool struct {
	clock         clock
	domain        string
	announcements *announcements

	mu        sync.Mutex
	cfg       config.Pool
	targets   []placement.ServiceTarget
	addresses map[string]string
	breakers  breakerSet
	draining  map[string]bool
	rng       *rand.Rand
}

// servicePlacedAttempt is an attempt and the target chosen for it.
type servicePlacedAttempt struct {
	target  string
	address string
	ticket  breakerTicket
}

func newServicePool(c clock, domain string) *servicePool {
	return &servicePool{
		clock:         c,
		domain:        domain,
		announcements: newAnnouncements(c),
		breakers:      newBreakers(overload.BreakerConfig{MaxWait: serviceMaxProbeWait}),
		draining:      make(map[string]bool),
		rng:           rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
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

// acquire chooses a target and counts the request as outstanding there until
// release. If it returns an error, which is an *openai.Error, the request has
// not run.
func (p *servicePool) acquire(exclude string) (servicePlacedAttempt, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	i, ok := p.chooseTarget(exclude, func(b *targetBreaker) bool { return b.Ready(p.clock.now()) })
	if !ok {
		// All available targets have reached their slow start limits, for
		// example after the whole pool was lost. There is no queue here, so
		// requests exceed these limits instead of being refused.
		i, ok = p.chooseTarget(exclude, func(b *targetBreaker) bool { return b.State() != overload.Open })
	}
	if !ok {
		return servicePlacedAttempt{}, &openai.Error{
			Status: http.StatusServiceUnavailable, Code: openai.CodeNoTarget, Outcome: openai.NotRun,
			Message: "no target can take the request", RetryAfter: p.noTargetRetryAfter(),
		}
	}
	p.targets[i].Outstanding++
	name := p.targets[i].Name
	return servicePlacedAttempt{target: name, address: p.addresses[name], ticket: p.breakers.begin(name)}, nil
}

// noTargetRetryAfter returns when a request that no target can take is to be sent again.
// p.mu must be held.
func (p *servicePool) noTargetRetryAfter() time.Duration {
	var addresses []string
	for _, t := range p.targets {
		if !p.draining[t.Name] && !p.announcements.leavingNow(p.addresses[t.Name]) {
			addresses = append(addresses, p.addresses[t.Name])
		}
	}
	return p.announcements.retryAfter(p.clock.now(), addresses, serviceRetryAfter)
}

// chooseTarget chooses among the targets whose breakers usable accepts and that neither
// leave nor have asked for a pause. p.mu must be held.
func (p *servicePool) chooseTarget(exclude string, usable func(*targetBreaker) bool) (int, bool) {
	for i := range p.targets {
		t := &p.targets[i]
		t.Usable = !p.draining[t.Name] && usable(p.breakers.byTarget[t.Name]) && p.announcements.maySend(p.clock.now(), p.addresses[t.Name])
	}
	return placement.LeastOutstanding(p.targets, p.domain, exclude, p.cfg.MaxConcurrent, p.rng)
}

// release ends an attempt and records its result. If the target was
// unreachable, it receives only probes from now on.
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
