package entry

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/mastictray/mastictray/internal/config"
	"github.com/mastictray/mastictray/internal/openai"
	"github.com/mastictray/mastictray/internal/placement"
)

// serviceRetryAfter is when a target that could not be reached is tried again.
const serviceRetryAfter = time.Second

// servicePool decides for the requests of one pool of plain services.
type servicePool struct {
	clock  clock
	domain string

	mu      sync.Mutex
	cfg     config.Pool
	targets []placement.ServiceTarget
	address map[string]string
	// retryAt is when a failed target may be tried again.
	retryAt  map[string]time.Duration
	draining map[string]bool
	rng      *rand.Rand
}

func newServicePool(c clock, domain string) *servicePool {
	return &servicePool{
		clock:    c,
		domain:   domain,
		retryAt:  make(map[string]time.Duration),
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
	p.cfg, p.targets = cfg, p.targets[:0]
	p.address = make(map[string]string, len(targets))
	for _, t := range targets {
		p.address[t.Name] = t.Address
		p.targets = append(p.targets, placement.ServiceTarget{Name: t.Name, Domain: t.Domain, Outstanding: outstanding[t.Name]})
	}
}

// acquire chooses a target and counts the request there until release. The
// error is an *openai.Error: the request has not run.
func (p *servicePool) acquire(exclude string) (name, address string, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.now()
	for i := range p.targets {
		t := &p.targets[i]
		t.Usable = !p.draining[t.Name] && now >= p.retryAt[t.Name]
	}
	i, ok := placement.LeastOutstanding(p.targets, p.domain, exclude, p.cfg.MaxConcurrent, p.rng)
	if !ok {
		return "", "", &openai.Error{
			Status: http.StatusServiceUnavailable, Code: openai.CodeNoTarget, Outcome: openai.NotRun,
			Message: "no target can take the request", RetryAfter: serviceRetryAfter,
		}
	}
	p.targets[i].Outstanding++
	return p.targets[i].Name, p.address[p.targets[i].Name], nil
}

// release ends a request at a target. With failed the target gets no new work
// for a while.
func (p *servicePool) release(name string, failed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.targets {
		if p.targets[i].Name == name {
			p.targets[i].Outstanding--
		}
	}
	if failed {
		p.retryAt[name] = p.clock.now() + serviceRetryAfter
	}
}

func (p *servicePool) setDraining(leaving func(name string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range p.targets {
		p.draining[t.Name] = leaving(t.Name)
	}
}
