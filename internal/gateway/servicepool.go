package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/mastictray/mastictray/internal/directory"
	"github.com/mastictray/mastictray/internal/overload"
	"github.com/mastictray/mastictray/internal/placement"
)

// servicePool chooses targets for the requests of one service without model servers.
type servicePool struct {
	now    func() time.Duration
	domain string
	limits *targetLimits

	mu      sync.Mutex
	targets []serviceTarget
	rng     *rand.Rand
	scratch []placement.ServiceTarget
}

type serviceTarget struct {
	registration directory.Registration
	inFlight     int
	breaker      *overload.Breaker
}

func newServicePool(now func() time.Duration, domain string, limits *targetLimits) *servicePool {
	return &servicePool{now: now, domain: domain, limits: limits, rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
}

// updateTargets sets the usable targets of the service. The state of targets that remain is
// kept.
func (p *servicePool) updateTargets(regs []directory.Registration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := make([]serviceTarget, 0, len(regs))
	for _, r := range regs {
		t := serviceTarget{registration: r}
		if old := p.find(r.Incarnation()); old != nil {
			t.inFlight, t.breaker = old.inFlight, old.breaker
		} else {
			t.breaker = overload.NewBreaker(overload.BreakerConfig{})
		}
		next = append(next, t)
	}
	p.targets = next
}

func (p *servicePool) find(id directory.Incarnation) *serviceTarget {
	for i := range p.targets {
		if p.targets[i].registration.Incarnation() == id {
			return &p.targets[i]
		}
	}
	return nil
}

// serviceChoice is a target chosen for one attempt.
type serviceChoice struct {
	target  directory.Registration
	breaker *overload.Breaker
	ticket  overload.Ticket
}

// acquire chooses the target with the fewest requests of this instance and, among equals,
// one in its own domain. It returns false if no target may get a request.
func (p *servicePool) acquire(exclude string) (*serviceChoice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	p.scratch = p.scratch[:0]
	for _, t := range p.targets {
		p.scratch = append(p.scratch, placement.ServiceTarget{
			Name: t.registration.ID, Domain: t.registration.Domain, Outstanding: t.inFlight, Usable: t.breaker.Ready(now) && p.limits.canSend(t.registration.Incarnation()),
		})
	}
	i, ok := placement.LeastOutstanding(p.scratch, p.domain, exclude, maxOutstanding, p.rng)
	if !ok {
		return nil, false
	}
	t := &p.targets[i]
	t.inFlight++
	p.limits.recordSend(t.registration.Incarnation())
	return &serviceChoice{target: t.registration, breaker: t.breaker, ticket: t.breaker.Begin()}, true
}

// maxOutstanding bounds this instance's requests at one target. It is far above what a
// target runs concurrently and only prevents requests from piling up at one that hangs.
const maxOutstanding = 64

// endAttempt records the end of an attempt and reports its result to the target's breaker.
func (p *servicePool) endAttempt(c *serviceChoice, result overload.Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t := p.find(c.target.Incarnation()); t != nil {
		t.inFlight--
	}
	c.breaker.End(p.now(), c.ticket, result, p.rng)
}

// recordUnreachable records that no connection to the target could be made.
func (p *servicePool) recordUnreachable(c *serviceChoice) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.breaker.Unreachable(p.now(), p.rng)
}
