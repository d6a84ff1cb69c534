package gateway

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/mastictray/mastictray/internal/directory"
	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/plainqueue"
	"github.com/mastictray/mastictray/internal/wire"
)

// plainLoads has the requests that peers have in flight at plain services. Its lock is
// acquired after that of a plainService.
type plainLoads struct {
	now    func() time.Duration
	limits *targetLimits

	mu    sync.Mutex
	peers plainqueue.Loads
}

// apply records the counts that a peer published at the given time.
func (l *plainLoads) apply(at time.Duration, from wire.Identity, counts map[string]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peers.Apply(at, from.Instance, from.Domain, counts)
	l.peers.Expire(l.now())
}

// update includes the current counts in the averages of a service.
func (l *plainLoads) update(a *plainqueue.Averages, targets []string, arrivalsKey, domain string, own float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a.Update(l.now(), &l.peers, targets, arrivalsKey, domain, own)
}

// arrivalsKey is the key under which the requests for a service that arrive are published.
func arrivalsKey(service string) string { return "*" + service }

// sharesTargets reports whether the service has fewer slots than the fleet has instances, so that
// an instance's own counts say little about the targets. The caller holds s.mu.
func (s *plainService) sharesTargets() bool {
	slots := 0
	for i := range s.targets {
		slots += s.targets[i].registration.Slots
	}
	return slots > 0 && slots < s.loads.limits.fleetSize()
}

// publishedLoads returns the requests that this instance has in flight and those that arrive, if
// the service shares its targets.
func (s *plainService) publishedLoads() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.sharesTargets() {
		return nil
	}
	counts := map[string]int{}
	for i := range s.targets {
		if t := &s.targets[i]; t.inFlight > 0 {
			counts[t.registration.ID] = t.inFlight
		}
	}
	if n := int(s.throttle.Arrivals(s.now())*plainqueue.ReportedSeconds + 0.5); n > 0 {
		counts[arrivalsKey(s.name)] = n
	}
	return counts
}

// plan returns the shares of the stable targets that may get a request, except those in exclude.
// The caller holds s.mu.
func (s *plainService) plan(now time.Duration, exclude []string) plainqueue.Plan {
	s.loads.update(&s.averages, s.targetIDs(), arrivalsKey(s.name), s.domain, s.throttle.Arrivals(now))
	unreachable := s.reach.unreachableDomains()
	targets := make([]plainqueue.Target, len(s.targets))
	for i := range s.targets {
		t := &s.targets[i]
		targets[i] = plainqueue.Target{
			Domain: t.registration.Domain, Slots: t.registration.Slots, ServiceTime: t.serviceTime.Value(),
			Usable:   !t.canary && !unreachable[t.registration.Domain] && t.inFlight < maxOutstanding && s.isUsable(now, t, exclude),
			NoRoom:   !s.hasRoom(t),
			InFlight: t.inFlight, Load: s.targetLoad(t),
		}
	}
	return plainqueue.NewPlan(targets, s.domain, s.averages.Arrivals)
}

func (s *plainService) targetIDs() []string {
	ids := make([]string, 0, len(s.targets))
	for i := range s.targets {
		ids = append(ids, s.targets[i].registration.ID)
	}
	return ids
}

// targetLoad returns the requests that the fleet has in flight at a target. The caller holds s.mu.
func (s *plainService) targetLoad(t *serviceTarget) float64 {
	return s.averages.InFlight[t.registration.ID] + float64(t.inFlight)
}

// queueReport describes a decision on a request that waited or was refused, and what it was based on.
type queueReport struct {
	verdict          plainqueue.Verdict
	waited           time.Duration
	retryAfter       time.Duration
	demand, capacity float64
	viewAge          time.Duration
}

type queueVerdict struct {
	verdict    plainqueue.Verdict
	retryAfter time.Duration
}

// recordRefusal records that a target refused a request, and the pause that it asked for; 0 for none.
func (s *plainService) recordRefusal(id directory.Incarnation, pause time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.throttle.Rejected(s.now())
	if pause > 0 {
		s.pauses.Pause(s.now(), id, pause)
	}
}

// await waits until a request may be sent to the service. It returns at once unless targets have
// rejected requests and the fleet has more than they can serve; report is nil then. If the context
// ends it returns with the verdict plainqueue.Wait.
func (s *plainService) await(ctx context.Context, urgency int, deadline, objective time.Duration) (report *queueReport) {
	s.mu.Lock()
	if !s.sharesTargets() {
		s.releaseAll()
		s.mu.Unlock()
		return nil
	}
	s.objective = objective
	now := s.now()
	p := s.updateRate(now)
	s.throttle.Arrived(now) // after the rate has been set: with itself included it would be biased
	granted := make(chan queueVerdict, 1)
	v, retryAfter := s.queue.Admit(now, plainqueue.Request[chan queueVerdict]{Urgency: urgency, Deadline: deadline, MaxWait: plainqueue.MaxWait(objective), Value: granted})
	if v == plainqueue.Send {
		s.mu.Unlock()
		return nil
	}
	report = &queueReport{verdict: v, retryAfter: retryAfter, demand: p.Demand, capacity: p.Capacity, viewAge: s.averages.NewestAge}
	if v == plainqueue.Wait {
		s.scheduleQueue()
	}
	s.mu.Unlock()
	if v != plainqueue.Wait {
		return report
	}
	select {
	case decided := <-granted:
		report.verdict, report.retryAfter = decided.verdict, decided.retryAfter
	case <-ctx.Done():
		s.mu.Lock()
		s.queue.Remove(granted)
		s.mu.Unlock()
	}
	report.waited = s.now() - now
	return report
}

// updateRate sets the rate of the queue. The caller holds s.mu.
func (s *plainService) updateRate(now time.Duration) plainqueue.Plan {
	p := s.plan(now, nil)
	s.queue.SetRate(now, s.throttle.Rate(now, &p), p.TimeAtTarget(s.objective))
	return p
}

// stepQueue passes on the decisions on waiting requests that are due. The caller holds s.mu.
func (s *plainService) stepQueue() {
	now := s.now()
	s.updateRate(now)
	for {
		granted, v, retryAfter, ok := s.queue.Next(now)
		if !ok {
			break
		}
		granted <- queueVerdict{v, retryAfter}
	}
	s.scheduleQueue()
}

// releaseAll sends what waits. The caller holds s.mu.
func (s *plainService) releaseAll() {
	if s.queue.Len() > 0 {
		s.queue.SetRate(s.now(), 0, 0)
		for granted, v, retryAfter, ok := s.queue.Next(s.now()); ok; granted, v, retryAfter, ok = s.queue.Next(s.now()) {
			granted <- queueVerdict{v, retryAfter}
		}
	}
}

// maxQueueStep is the longest time between two steps of a queue: the rate changes with the counts
// of peers.
const maxQueueStep = 50 * time.Millisecond

// scheduleQueue schedules the next step if requests wait. The caller holds s.mu.
func (s *plainService) scheduleQueue() {
	if s.queueScheduled || s.queue.Len() == 0 {
		return
	}
	s.queueScheduled = true
	time.AfterFunc(min(max(s.queue.NextIn(), time.Millisecond), maxQueueStep), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.queueScheduled = false
		s.stepQueue()
	})
}

// awaitPlainTarget waits until a request may be sent to its plain service, and logs the decision if
// it had to wait or is refused. ok is false if it may not be sent, without a refusal if the context
// has ended.
func (g *Gateway) awaitPlainTarget(ctx context.Context, c *call, s *plainService) (refusal *Refusal, ok bool) {
	if c.toCanary || c.sendCount > 0 {
		return nil, true // the retry budget bounds further attempts
	}
	report := s.await(ctx, g.urgency(c), c.nextEventDeadline(), c.route.LatencyObjective)
	if report == nil {
		return nil, true
	}
	outcome := report.verdict.String()
	if report.verdict == plainqueue.Wait {
		outcome = "ended"
	}
	g.metrics.plainQueued(outcome, report.waited)
	logline.InfoSampled("plain_queue", "request", c.ID, "service", c.service.Name, "account", accountName(c), "outcome", outcome,
		"waited", report.waited, "demand", report.demand, "capacity", report.capacity, "view_age", report.viewAge)
	switch report.verdict {
	case plainqueue.Send:
		return nil, true
	case plainqueue.RefuseDeadline:
		return unavailableRefusal("cannot_make_deadline", report.retryAfter), false
	case plainqueue.RefuseFull:
		return unavailableRefusal("queue_full", report.retryAfter), false
	}
	return nil, false
}

// plainQueued counts a request that waited for a plain target or was refused there.
func (m *gatewayMetrics) plainQueued(outcome string, waited time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`mastictray_plain_queue_total{outcome=%q}`, outcome)).Inc()
	m.set.GetOrCreateHistogram(`mastictray_plain_queue_wait_seconds`).Update(waited.Seconds())
}

// publishedPlainLoads returns the requests that this instance has in flight at plain services that
// share their targets, and those that arrive for them; nil if there are none.
func (g *Gateway) publishedPlainLoads(services []*plainService) map[string]int {
	var out map[string]int
	for _, s := range services {
		for key, n := range s.publishedLoads() {
			if out == nil {
				out = map[string]int{}
			}
			out[key] = n
		}
	}
	return out
}

// listPlainServices returns all plain services, for calls that are made without g.mu.
func (g *Gateway) listPlainServices() []*plainService {
	g.mu.Lock()
	defer g.mu.Unlock()
	services := make([]*plainService, 0, len(g.plainServices))
	for _, s := range g.plainServices {
		services = append(services, s)
	}
	return slices.Clip(services)
}
