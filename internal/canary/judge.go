package canary

import "math"

const (
	// slowBuckets is the distance from the median latency of the old version at which an answer
	// counts as slow: a factor of 2.8 to 4.
	slowBuckets = 3 * bucketsPerDouble / 2
	// minBaseline is the number of answers of the old version from which its latencies are a
	// measure on a route.
	minBaseline = 20
	// minBadAnswers is the number of bad answers below which no version is judged bad.
	minBadAnswers = 5
	// toleratedFactor and toleratedShare bound the share of bad answers that is still like
	// that of the old version: the factor covers a difference in load, the share single
	// answers.
	toleratedFactor, toleratedShare = 1.2, 0.02
	// badEvidence is the logarithm of the odds from which a version is bad: the chance that a
	// version with the tolerated share of bad answers shows as many is below e^-badEvidence.
	badEvidence = 6
	// restEvidence is what must remain without the target with the most bad answers. A single
	// failing target says nothing about its version, unless it gave more than soleShare of the
	// answers.
	restEvidence = 2
	soleShare    = 0.67
)

// Verdict is the result of comparing the new version with the old one.
type Verdict struct {
	// Bad is set if the new version is worse.
	Bad bool
	// Route is the key of the route on which it is, or 0 for all routes together.
	Route uint32
	// CanaryBad of CanaryTotal answers of the new version were failed or slow, and StableBad of
	// StableTotal of the old one.
	CanaryBad, CanaryTotal, StableBad, StableTotal uint32
}

// group is the comparison of one route, or the sum of several.
type group struct {
	verdict Verdict
	// tolerated is the number of bad answers that the new version may have on average.
	tolerated float64
	// targets holds the same for each canary.
	targets map[uint32]targetGroup
}

type targetGroup struct {
	bad, total uint32
	tolerated  float64
}

// Judge compares the versions on each route in each phase, on each route, and over all routes. A
// fault that begins late shows in its phase only; where requests are few, it takes all phases.
func (e *Evidence) Judge() Verdict {
	all, byRoute := newGroup(0), map[uint32]*group{}
	for key, r := range e.routes {
		g := r.compare(key, e.stableBaseline(key))
		if g.isBad() {
			return g.verdict
		}
		route := key &^ phaseMask
		if byRoute[route] == nil {
			byRoute[route] = newGroup(route)
		}
		byRoute[route].add(&g)
		all.add(&g)
	}
	for _, g := range byRoute {
		if g.isBad() {
			return g.verdict
		}
	}
	all.isBad()
	return all.verdict
}

func newGroup(route uint32) *group {
	return &group{verdict: Verdict{Route: route}, targets: map[uint32]targetGroup{}}
}

// compare counts the bad answers of both versions on a route.
func (r *routeEvidence) compare(route uint32, stable counts) group {
	slow := latencyBuckets // no answer is slow
	if stable.answered() >= minBaseline {
		slow = stable.median() + slowBuckets
	}
	g := group{targets: make(map[uint32]targetGroup, len(r.canaries))}
	g.verdict = Verdict{Route: route, StableBad: stable.failed + stable.slowerThan(slow), StableTotal: stable.total()}
	share := tolerated(float64(g.verdict.StableBad), float64(g.verdict.StableTotal))
	for id, c := range r.canaries {
		t := targetGroup{bad: c.failed + c.slowerThan(slow), total: c.total()}
		t.tolerated = share * float64(t.total)
		g.targets[id] = t
		g.verdict.CanaryBad += t.bad
		g.verdict.CanaryTotal += t.total
		g.tolerated += t.tolerated
	}
	return g
}

func (g *group) add(o *group) {
	g.verdict.CanaryBad += o.verdict.CanaryBad
	g.verdict.CanaryTotal += o.verdict.CanaryTotal
	g.verdict.StableBad += o.verdict.StableBad
	g.verdict.StableTotal += o.verdict.StableTotal
	g.tolerated += o.tolerated
	for id, t := range o.targets {
		sum := g.targets[id]
		g.targets[id] = targetGroup{bad: sum.bad + t.bad, total: sum.total + t.total, tolerated: sum.tolerated + t.tolerated}
	}
}

// isBad reports whether the new version has more bad answers than chance explains, also without
// its worst target. The verdict says so too.
func (g *group) isBad() bool {
	g.verdict.Bad = g.exceedsChance()
	return g.verdict.Bad
}

func (g *group) exceedsChance() bool {
	v := &g.verdict
	if v.CanaryBad < minBadAnswers || excess(v.CanaryBad, v.CanaryTotal, g.tolerated) < badEvidence {
		return false
	}
	worst, most := targetGroup{}, math.Inf(-1)
	for _, t := range g.targets {
		if over := float64(t.bad) - t.tolerated; over > most {
			worst, most = t, over
		}
	}
	if float64(worst.total) > soleShare*float64(v.CanaryTotal) {
		return true
	}
	return excess(v.CanaryBad-worst.bad, v.CanaryTotal-worst.total, g.tolerated-worst.tolerated) >= restEvidence
}

// excess returns minus the logarithm of a bound on the chance of so many bad answers when
// expected is their mean (Chernoff's bound); 0 if there are no more than these.
func excess(bad, total uint32, expected float64) float64 {
	n, b := float64(total), float64(bad)
	if n == 0 || b <= expected {
		return 0
	}
	return n * divergence(b/n, expected/n)
}

const (
	// materialShare is the share of a service's requests from which a route must have been
	// observed by itself.
	materialShare = 0.05
	// detectableShare is the share of additional bad answers that is to be detected on a route.
	detectableShare = 0.4
	// sufficientFactor makes it likely that so many answers show the fault: at 1, half of the
	// versions would show it.
	sufficientFactor = 3
)

// Sufficient reports whether a version that is bad on a route would have been judged so by now.
func (e *Evidence) Sufficient() bool {
	type routeTotals struct{ bad, stable, canary float64 }
	routes, all := map[uint32]routeTotals{}, 0.0
	for key, r := range e.routes {
		g := r.compare(key, r.stable)
		t := routes[key&^phaseMask]
		t.bad += float64(g.verdict.StableBad)
		t.stable += float64(g.verdict.StableTotal)
		t.canary += float64(g.verdict.CanaryTotal)
		routes[key&^phaseMask] = t
		all += float64(g.verdict.StableTotal + g.verdict.CanaryTotal)
	}
	for _, t := range routes {
		if t.stable+t.canary < materialShare*all {
			continue
		}
		share := tolerated(t.bad, t.stable)
		if t.canary < sufficientFactor*badEvidence/divergence(min(share+detectableShare, 1), share) {
			return false
		}
	}
	return true
}

// tolerated returns the share of bad answers that the new version may have.
func tolerated(stableBad, stableTotal float64) float64 {
	return min(toleratedFactor*(stableBad+1)/(stableTotal+2)+toleratedShare, 1)
}

// divergence returns the relative entropy of two shares, in nats per answer.
func divergence(q, p float64) float64 {
	e := 0.0
	if q > 0 {
		e = q * math.Log(q/p)
	}
	if q < 1 && p < 1 {
		e += (1 - q) * math.Log((1-q)/(1-p))
	}
	return e
}
