package plainqueue

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

const ms = time.Millisecond

func near(a, b float64) bool { return math.Abs(a-b) < 0.001 }

// Guards against a plan that overloads the targets of one domain while others are idle, or that
// leaves a domain without need.
func TestShares(t *testing.T) {
	const work = 60 * ms
	target := func(domain string, work time.Duration, usable bool) Target {
		return Target{Domain: domain, Slots: 6, ServiceTime: work, Usable: usable}
	}
	for name, c := range map[string]struct {
		targets []Target
		demand  map[string]float64
		shares  []float64 // of domain a
	}{
		"little demand stays in the domain": {
			[]Target{target("a", work, true), target("b", work, true), target("b", work, true)},
			map[string]float64{"a": 2, "b": 2},
			[]float64{1, 0, 0},
		},
		"a domain with a single target spills": {
			[]Target{target("a", work, true), target("b", work, true), target("b", work, true)},
			map[string]float64{"a": 8.4}, // the target's part is 0.7 of 6
			[]float64{0.5, 0.25, 0.25},
		},
		"no demand known": {
			[]Target{target("a", work, true), target("b", work, true)}, nil, []float64{1, 0},
		},
		"no target in the domain and no demand known": {
			[]Target{target("b", work, true), target("b", work, true)}, nil, []float64{0.5, 0.5},
		},
		"a slow target": {
			[]Target{target("a", work, true), target("a", work, true), target("a", 2*work, true)},
			map[string]float64{"a": 3},
			[]float64{0.4, 0.4, 0.2},
		},
		"an unusable target": {
			[]Target{target("a", work, false), target("b", work, true)},
			map[string]float64{"a": 3},
			[]float64{0, 1},
		},
		"all overloaded": {
			[]Target{target("a", work, true), target("b", work, true)},
			map[string]float64{"a": 10, "b": 20},
			[]float64{1, 0},
		},
		"only the own domain overloaded": {
			[]Target{target("a", work, true), target("b", work, true)},
			map[string]float64{"a": 30, "b": 0},
			[]float64{0.5, 0.5},
		},
		"none usable": {[]Target{target("a", work, false)}, map[string]float64{"a": 3}, []float64{0}},
	} {
		t.Run(name, func(t *testing.T) {
			arrivals := map[string]float64{}
			for domain, demand := range c.demand {
				arrivals[domain] = demand / work.Seconds()
			}
			p := NewPlan(c.targets, "a", arrivals)
			for i := range c.shares {
				if !near(p.Shares[i], c.shares[i]) {
					t.Errorf("shares %.3f, expected %v", p.Shares, c.shares)
				}
			}
		})
	}
}

// Guards against requests sent to a target that peers have filled, and against refusing to send
// when all are full.
func TestDrawPassesOverFullTargets(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	targets := []Target{{Domain: "a", Slots: 6, Usable: true, Load: 24}, {Domain: "a", Slots: 6, Usable: true, Load: 1}}
	p := NewPlan(targets, "a", map[string]float64{"a": 25})
	for range 100 {
		i, ok := p.Draw(0, rng.Float64)
		is.True(ok)
		is.Equal(i, 1)
	}
	targets[1].Load = 24
	drawn := map[int]bool{}
	for range 100 {
		i, ok := p.Draw(0, rng.Float64)
		is.True(ok)
		drawn[i] = true
	}
	is.Equal(len(drawn), 2)
}

// Guards against a bound on the rate without need, or one above what the targets can serve.
func TestRate(t *testing.T) {
	is := is.New(t)
	targets := []Target{{Slots: 6, ServiceTime: 60 * ms, Usable: true}}
	var rejected, served, unrejected Throttle
	for _, x := range []*Throttle{&rejected, &served, &unrejected} {
		x.Arrived(0)
		x.Arrived(0)
	}
	rejected.Rejected(0)
	served.Rejected(0)
	served.Accepted(0)
	served.Accepted(0)
	for arrivals, rate := range map[float64]float64{50: 0, 100: 0, 200: 2.0 / 2} {
		p := NewPlan(targets, "", map[string]float64{"": arrivals})
		is.True(near(rejected.Rate(0, &p), rate))
		is.Equal(unrejected.Rate(0, &p), 0.0)
	}
	p := NewPlan(targets, "", map[string]float64{"": 200})
	is.True(near(served.Rate(0, &p), 2)) // the targets serve more than expected
	is.Equal(rejected.Rate(rejectionMemory+1, &p), 0.0)
	targets[0].ServiceTime = 0
	p = NewPlan(targets, "", map[string]float64{"": 200})
	is.Equal(rejected.Rate(0, &p), 0.0)
}

// Guards against counts of peers that are frozen, killed or cut off, which would count for good,
// and against counts that arrive out of order.
func TestLoadsOfSilentPeersExpire(t *testing.T) {
	is := is.New(t)
	var l Loads
	l.Apply(100*ms, "p", "a", map[string]int{"t": 4, "*s": 30})
	l.Apply(50*ms, "p", "a", map[string]int{"t": 9, "*s": 40})
	var a Averages
	a.Update(200*ms, &l, []string{"t"}, "*s", "b", 1)
	is.Equal(a.InFlight["t"], 4.0)
	is.Equal(a.Arrivals, map[string]float64{"a": 3, "b": 1})
	is.Equal(a.NewestAge, 100*ms)
	for now := time.Second; now < 20*time.Second; now += sumInterval {
		l.Expire(now)
		a.Update(now, &l, []string{"t"}, "*s", "b", 1)
	}
	is.Equal(len(l.peers), 0)
	is.Equal(a.InFlight["t"], 0.0)
	is.Equal(a.NewestAge, MaxAge)
	is.Equal(len(a.Arrivals), 1)
}

// The simulated service: seven targets of which one domain has a single one, and 85 instances.
const (
	simStep         = 5 * ms
	simWork         = 60 * ms
	simSlots        = 6
	simTargetQueue  = 24
	simInstances    = 85
	simObjective    = 300 * ms
	simDeadline     = 4 * time.Second
	simViewInterval = 325 * ms
	simMaxViewDelay = 650 * ms
)

var simDomains = []string{"a", "a", "b", "b", "c", "c", "d"}

type simRequest struct {
	urgency           int
	arrived, deadline time.Duration
}

type simTarget struct {
	work    time.Duration
	dark    bool
	running []simRun
	queued  []simRun
}

type simRun struct {
	request simRequest
	from    *simInstance
	ends    time.Duration
}

type simView struct {
	at, sentAt time.Duration
	from       int
	counts     map[string]int
}

type simInstance struct {
	domain   string
	queue    Queue[int]
	throttle Throttle
	loads    Loads
	averages Averages
	times    []ServiceTime
	inFlight []int
	views    []simView
	cutOff   bool
}

// sim runs a fleet against the service. With plain set, instances choose the target with the
// fewest of their own requests and prefer their own domain.
type sim struct {
	rng       *rand.Rand
	plain     bool
	targets   []*simTarget
	instances []*simInstance
	requests  []simRequest
	latencies map[int][]time.Duration // by urgency
	shed      int
	refused   int
	maxLoad   float64
}

func newSim(plain bool) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(7, 7)), plain: plain, latencies: map[int][]time.Duration{}}
	for range simDomains {
		s.targets = append(s.targets, &simTarget{work: simWork})
	}
	for i := range simInstances {
		s.instances = append(s.instances, &simInstance{domain: []string{"a", "b", "c", "d"}[i%4], times: make([]ServiceTime, len(simDomains)), inFlight: make([]int, len(simDomains))})
	}
	return s
}

var simTargetNames = []string{"0", "1", "2", "3", "4", "5", "6"}

func (s *sim) run(from, to time.Duration, perSecond func(domain string) float64) {
	for now := from; now < to; now += simStep {
		for i, x := range s.instances {
			s.exchange(now, i, x)
			for p := perSecond(x.domain) * simStep.Seconds() * 4 / simInstances; s.rng.Float64() < p; p-- {
				s.arrive(now, x)
			}
			s.stepQueue(now, x)
		}
		for _, t := range s.targets {
			s.stepTarget(now, t)
		}
	}
}

func (s *sim) exchange(now time.Duration, i int, x *simInstance) {
	if x.cutOff {
		return
	}
	if (now+time.Duration(i)*simStep)%simViewInterval < simStep {
		counts := map[string]int{"arrivals": int(x.throttle.Arrivals(now) * ReportedSeconds)}
		for t, n := range x.inFlight {
			counts[fmt.Sprint(t)] = n
		}
		for j, y := range s.instances {
			if j != i && !y.cutOff {
				y.views = append(y.views, simView{now + time.Duration(s.rng.Int64N(int64(simMaxViewDelay))), now, i, counts})
			}
		}
	}
	x.views = slices.DeleteFunc(x.views, func(v simView) bool {
		if v.at <= now {
			x.loads.Apply(v.sentAt, fmt.Sprint(v.from), s.instances[v.from].domain, v.counts)
		}
		return v.at <= now
	})
}

func (s *sim) arrive(now time.Duration, x *simInstance) {
	r := simRequest{urgency: s.rng.IntN(2), arrived: now, deadline: now + simDeadline}
	if s.plain {
		s.send(now, x, r)
		return
	}
	s.requests = append(s.requests, r)
	p := s.plan(now, x)
	x.queue.SetRate(now, x.throttle.Rate(now, &p), p.TimeAtTarget(simObjective))
	x.throttle.Arrived(now)
	switch v, _ := x.queue.Admit(now, Request[int]{Urgency: r.urgency, Deadline: r.deadline, MaxWait: MaxWait(simObjective), Value: len(s.requests) - 1}); v {
	case Send:
		s.send(now, x, r)
	case RefuseFull, RefuseDeadline:
		s.refused++
	}
}

func (s *sim) stepQueue(now time.Duration, x *simInstance) {
	if x.queue.Len() == 0 {
		return
	}
	p := s.plan(now, x)
	x.queue.SetRate(now, x.throttle.Rate(now, &p), p.TimeAtTarget(simObjective))
	for {
		i, v, _, ok := x.queue.Next(now)
		switch {
		case !ok:
			return
		case v == Send:
			s.send(now, x, s.requests[i])
		default:
			s.refused++
		}
	}
}

func (s *sim) plan(now time.Duration, x *simInstance) Plan {
	x.averages.Update(now, &x.loads, simTargetNames, "arrivals", x.domain, x.throttle.Arrivals(now))
	targets := make([]Target, len(s.targets))
	for i := range s.targets {
		targets[i] = Target{
			Domain: simDomains[i], Slots: simSlots, ServiceTime: x.times[i].Value(), Usable: !s.targets[i].dark,
			InFlight: x.inFlight[i], Load: x.averages.InFlight[simTargetNames[i]] + float64(x.inFlight[i]),
		}
	}
	return NewPlan(targets, x.domain, x.averages.Arrivals)
}

func (s *sim) send(now time.Duration, x *simInstance, r simRequest) {
	chosen := -1
	if s.plain {
		for _, i := range s.rng.Perm(len(s.targets)) {
			better := chosen < 0 || x.inFlight[i] < x.inFlight[chosen] ||
				x.inFlight[i] == x.inFlight[chosen] && simDomains[i] == x.domain && simDomains[chosen] != x.domain
			if !s.targets[i].dark && better {
				chosen = i
			}
		}
	} else {
		p := s.plan(now, x)
		chosen, _ = p.Draw(simObjective, s.rng.Float64)
	}
	t := s.targets[chosen]
	if len(t.queued) >= simTargetQueue {
		s.shed++
		x.throttle.Rejected(now)
		return
	}
	x.inFlight[chosen]++
	t.queued = append(t.queued, simRun{request: r, from: x})
}

func (s *sim) stepTarget(now time.Duration, t *simTarget) {
	index := slices.Index(s.targets, t)
	t.running = slices.DeleteFunc(t.running, func(r simRun) bool {
		if r.ends > now {
			return false
		}
		r.from.inFlight[index]--
		r.from.times[index].Observe(t.work)
		r.from.throttle.Accepted(now)
		s.latencies[r.request.urgency] = append(s.latencies[r.request.urgency], now-r.request.arrived)
		return true
	})
	for len(t.queued) > 0 && len(t.running) < simSlots {
		r := t.queued[0]
		r.ends = now + t.work
		t.queued, t.running = t.queued[1:], append(t.running, r)
	}
	s.maxLoad = max(s.maxLoad, float64(len(t.queued)+len(t.running)))
}

func (s *sim) quantile(urgency int, q float64) time.Duration {
	l := s.latencies[urgency]
	slices.Sort(l)
	return l[int(q*float64(len(l)-1))]
}

// onTime returns how many requests of an urgency were answered within the objective.
func (s *sim) onTime(urgency int) (n int) {
	for _, l := range s.latencies[urgency] {
		if l <= simObjective {
			n++
		}
	}
	return n
}

func (s *sim) log(t *testing.T, name string) {
	t.Logf("%s: p50 %v and %v, p95 %v and %v, on time %d and %d, served %d, shed %d, refused %d, most at a target %.0f", name, s.quantile(0, 0.5), s.quantile(1, 0.5),
		s.quantile(0, 0.95), s.quantile(1, 0.95), s.onTime(0), s.onTime(1), len(s.latencies[0])+len(s.latencies[1]), s.shed, s.refused, s.maxLoad)
}

// Guards against a domain with a single target that its instances overload while other targets are
// idle, under two and a half times the usual arrivals and a demand that moves between domains.
func TestUnevenDemandStaysWithinTheObjective(t *testing.T) {
	is := is.New(t)
	run := func(plain bool) *sim {
		s := newSim(plain)
		s.run(0, 2*time.Second, func(string) float64 { return 218 / 4.0 })
		s.log(t, "warm")
		s.run(2*time.Second, 12*time.Second, func(domain string) float64 {
			if domain == "d" {
				return 545 / 4.0 * 1.3
			}
			return 545 / 4.0 * 0.9
		})
		return s
	}
	plain, shared := run(true), run(false)
	plain.log(t, "own counts")
	shared.log(t, "shares")
	is.Equal(shared.shed+shared.refused, 0)
	is.True(shared.quantile(0, 0.95) < simObjective)
	is.True(plain.shed > 0 || plain.quantile(0, 0.95) > shared.quantile(0, 0.95))
}

// Guards against less urgent requests that take the room of urgent ones, and against requests sent
// to targets that shed them, when targets are lost and the rest can't serve all.
func TestUrgentRequestsAreServedFirstIfTargetsAreLost(t *testing.T) {
	is := is.New(t)
	run := func(plain bool) *sim {
		s := newSim(plain)
		demand := func(string) float64 { return 600 / 4.0 }
		s.run(0, 3*time.Second, demand)
		for i := range 3 {
			s.targets[2*i].dark = true // 400 per second are left
		}
		s.latencies, s.shed = map[int][]time.Duration{}, 0
		s.run(3*time.Second, 15*time.Second, demand)
		s.log(t, fmt.Sprintf("three of seven lost, own counts %v", plain))
		return s
	}
	plain, s := run(true), run(false)
	served := len(s.latencies[0]) + len(s.latencies[1])
	is.True(float64(served) > 0.95*400*12) // the remaining targets are kept busy
	is.True(s.onTime(0) > plain.onTime(0))
	is.True(s.onTime(1) > s.onTime(0)/2) // the less urgent keep a part
	is.True(float64(s.onTime(0)+s.onTime(1)) > 0.9*float64(plain.onTime(0)+plain.onTime(1)))
	is.True(s.quantile(0, 0.5) < plain.quantile(0, 0.5))
	is.True(s.shed < plain.shed/5)
}

// Guards against a slow target that gets as much as the others.
func TestSlowTargetGetsLess(t *testing.T) {
	is := is.New(t)
	run := func(plain bool) *sim {
		s := newSim(plain)
		s.targets[0].work = 150 * ms
		s.run(0, 6*time.Second, func(string) float64 { return 218 / 4.0 })
		s.latencies = map[int][]time.Duration{}
		s.run(6*time.Second, 16*time.Second, func(string) float64 { return 500 / 4.0 })
		s.log(t, fmt.Sprintf("one target 2.5 times slower, own counts %v", plain))
		return s
	}
	plain, s := run(true), run(false)
	is.Equal(s.shed+s.refused, 0)
	is.True(s.quantile(0, 0.95) <= plain.quantile(0, 0.95))
}

// Guards against instances cut off from their peers that wait without need or overload a target.
func TestInstancesCutOffFromTheirPeers(t *testing.T) {
	is := is.New(t)
	s := newSim(false)
	s.run(0, 3*time.Second, func(string) float64 { return 218 / 4.0 })
	for i := range 20 {
		s.instances[i].cutOff = true
	}
	s.run(3*time.Second, 10*time.Second, func(string) float64 { return 218 / 4.0 })
	s.log(t, "20 of 85 cut off")
	is.Equal(s.shed+s.refused, 0)
	is.True(s.quantile(0, 0.95) < simObjective)
}
