package gateway

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/mastictray/mastictray/internal/directory"
	"github.com/mastictray/mastictray/internal/overload"
	"github.com/mastictray/mastictray/internal/placement"
	"github.com/mastictray/mastictray/internal/plainqueue"
	"github.com/mastictray/mastictray/internal/targetpause"
)

// plainService chooses targets for the requests of one service without model servers.
type plainService struct {
	now    func() time.Duration
	domain string
	name   string
	limits *targetLimits
	reach  *domainReach
	loads  *plainLoads

	mu      sync.Mutex
	targets []serviceTarget
	pauses  *targetpause.Pauses[directory.Incarnation]
	rng     *rand.Rand
	scratch []placement.ServiceTarget
	// averages and queue are used if the service shares its targets; see sharesTargets.
	averages       plainqueue.Averages
	throttle       plainqueue.Throttle
	queue          plainqueue.Queue[chan queueVerdict]
	queueScheduled bool
	// objective is the latency objective of the latest request.
	objective time.Duration
	// unreachable tracks the probes of unreachable targets.
	unreachable unreachableProbes
}

type serviceTarget struct {
	registration directory.Registration
	canary       bool
	inFlight     int
	breaker      *overload.Breaker
	serviceTime  plainqueue.ServiceTime
}

func newPlainService(now func() time.Duration, name, domain string, limits *targetLimits, reach *domainReach, loads *plainLoads) *plainService {
	return &plainService{
		now: now, name: name, domain: domain, limits: limits, reach: reach, loads: loads, pauses: &targetpause.Pauses[directory.Incarnation]{},
		rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// updateTargets sets the usable targets of the service. The state of targets that remain is
// kept.
func (s *plainService) updateTargets(regs []directory.Registration, isCanary map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := make([]serviceTarget, 0, len(regs))
	for _, r := range regs {
		t := serviceTarget{registration: r, canary: isCanary[r.ID]}
		if old := s.find(r.Incarnation()); old != nil {
			t.inFlight, t.breaker, t.serviceTime = old.inFlight, old.breaker, old.serviceTime
		} else {
			t.breaker = overload.NewBreaker(overload.BreakerConfig{})
		}
		next = append(next, t)
	}
	s.targets = next
}

func (s *plainService) find(id directory.Incarnation) *serviceTarget {
	for i := range s.targets {
		if s.targets[i].registration.Incarnation() == id {
			return &s.targets[i]
		}
	}
	return nil
}

// serviceChoice is a target chosen for one attempt.
type serviceChoice struct {
	target  directory.Registration
	breaker *overload.Breaker
	ticket  overload.Ticket
	// startedAt is when it was chosen, measured is set if its time tells the target's speed: it
	// doesn't wait for others there.
	startedAt time.Duration
	measured  bool
}

// acquire chooses a target by the shares of the fleet's demand if the service shares its targets;
// see sharesTargets. Otherwise, or if none can be chosen so, it chooses the target with the fewest requests of this instance and, among equals,
// one in its own domain; those in exclude are passed over. It chooses among canaries or among stable
// targets, or among all of the required software, and returns false if none may get a request.
func (s *plainService) acquire(exclude []string, isCanary bool, software placement.SoftwareRequirement) (*serviceChoice, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.pauses.Expire(now)
	i, ok, shared := 0, false, !isCanary && !software.Required && s.sharesTargets()
	if shared {
		p := s.plan(now, exclude)
		i, ok = p.Draw(s.objective, s.rng.Float64)
	}
	if !ok {
		i, ok = s.leastOutstanding(now, exclude, isCanary, software)
	}
	if !ok {
		return nil, false
	}
	t := &s.targets[i]
	measured := shared && s.targetLoad(t) < float64(t.registration.Slots)
	t.inFlight++
	s.limits.recordSend(t.registration.Incarnation())
	return &serviceChoice{target: t.registration, breaker: t.breaker, ticket: t.breaker.Begin(), startedAt: now, measured: measured}, true
}

// leastOutstanding returns the target that acquire chooses. The caller holds s.mu.
func (s *plainService) leastOutstanding(now time.Duration, exclude []string, isCanary bool, software placement.SoftwareRequirement) (int, bool) {
	unreachable := s.reach.unreachableDomains()
	s.scratch = s.scratch[:0]
	for i := range s.targets {
		t := &s.targets[i]
		s.scratch = append(s.scratch, placement.ServiceTarget{
			Name: t.registration.ID, Domain: t.registration.Domain, Outstanding: t.inFlight,
			Usable: s.isEligible(now, t, exclude, isCanary, software) && !unreachable[t.registration.Domain] && s.hasRoom(t),
		})
	}
	return placement.LeastOutstanding(s.scratch, s.domain, "", maxOutstanding, s.rng)
}

// isEligible reports whether a target may get a request of this kind if there is room for it; see
// acquire. The caller holds s.mu.
func (s *plainService) isEligible(now time.Duration, t *serviceTarget, exclude []string, isCanary bool, software placement.SoftwareRequirement) bool {
	return (software.Required || t.canary == isCanary) && software.Allows(t.registration.SoftwareVersion) && s.isUsable(now, t, exclude)
}

// isUsable reports whether a target may get a request if there is room for it. The targets in
// exclude must not get another attempt of it. The caller holds s.mu.
func (s *plainService) isUsable(now time.Duration, t *serviceTarget, exclude []string) bool {
	id := t.registration.Incarnation()
	return !slices.Contains(exclude, id.ID) && t.breaker.Ready(now) && s.pauses.Left(now, id) == 0 && s.limits.canSend(id)
}

// hasRoom reports whether this instance may have another request at a target. The caller holds s.mu.
func (s *plainService) hasRoom(t *serviceTarget) bool {
	return s.limits.hasRoom(&t.registration, t.inFlight)
}

// withoutRoom returns the targets that may get a request but for this instance's lack of room
// there; see acquire.
func (s *plainService) withoutRoom(exclude []string, isCanary bool, software placement.SoftwareRequirement) (out []directory.Registration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, unreachable := s.now(), s.reach.unreachableDomains()
	for i := range s.targets {
		t := &s.targets[i]
		if s.isEligible(now, t, exclude, isCanary, software) && !unreachable[t.registration.Domain] && !s.hasRoom(t) {
			out = append(out, t.registration)
		}
	}
	return out
}

// maxOutstanding bounds this instance's requests at one target. It is far above what a
// target runs concurrently and only prevents requests from piling up at one that hangs.
const maxOutstanding = 64

// endAttempt records the end of an attempt and reports its result to the target's breaker.
func (s *plainService) endAttempt(c *serviceChoice, result overload.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.find(c.target.Incarnation()); t != nil {
		t.inFlight--
		if c.measured && result == overload.Succeeded {
			t.serviceTime.Observe(s.now() - c.startedAt)
		}
	}
	if result == overload.Succeeded {
		s.throttle.Accepted(s.now())
	}
	c.breaker.End(s.now(), c.ticket, result, s.rng)
}

// recordUnreachable records that no connection to the target could be made.
func (s *plainService) recordUnreachable(c *serviceChoice, err error) {
	s.reach.failed(c.target.Domain, c.target.ID, err)
	s.mu.Lock()
	defer s.mu.Unlock()
	c.breaker.Unreachable(s.now(), s.rng)
}

// pauseLeft returns the time until the first target may get requests again if all of them have
// asked for a pause, else 0.
func (s *plainService) pauseLeft() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	targets := make([]directory.Incarnation, 0, len(s.targets))
	for _, t := range s.targets {
		targets = append(targets, t.registration.Incarnation())
	}
	return s.pauses.ShortestLeft(s.now(), targets)
}
