package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// pressStep is the pause between two arrivals of requests in these tests.
	pressStep = 10 * time.Millisecond
	// largePace is the pause between two messages in a fleet of some sixty.
	largePace = 300 * time.Millisecond
	// onTheWay is what a message takes to a peer.
	onTheWay = 50 * time.Millisecond
	// leastReturn is how soon a refused caller comes back at the earliest.
	leastReturn = 100 * time.Millisecond
	largeFleet  = 61
	// pressRate is tokens a second, and the burst in tokens.
	pressRate = 1_000_000.0
	// pressRequest is the tokens of one request.
	pressRequest = 5000.0
)

// pressed is a fleet whose instances tell their counts at the same moments,
// and an account whose refused callers come back when they were told to.
type pressed struct {
	fleet
	rng      *rand.Rand
	pace     time.Duration
	back     map[time.Duration]int
	due      float64
	refusals int
}

func newPressed(n int, pace time.Duration, rate float64) *pressed {
	p := &pressed{rng: rand.New(rand.NewPCG(1, 1)), pace: pace, back: map[time.Duration]int{}}
	for range n {
		l := New()
		l.SetLimits(0, map[string]Limit{"a": {Rate: rate, Burst: rate}})
		l.SetFleetSize(0, n, max(PeerTimeout, 4*pace))
		p.instances = append(p.instances, l)
	}
	return p
}

// run lets callers ask for so many tokens a second, spread over the first so
// many instances.
func (p *pressed) run(length time.Duration, tokens float64, over int) {
	names, told := make([]string, len(p.instances)), make([]map[string]float64, len(p.instances))
	for i := range names {
		names[i] = fmt.Sprint(i)
	}
	for end := p.now + length; p.now < end; p.now += pressStep {
		if p.now%p.pace == 0 {
			for i, l := range p.instances {
				told[i] = l.ReportSpent()
			}
		}
		if p.now%p.pace == onTheWay {
			for i := range p.instances {
				for j, peer := range p.instances {
					if i != j && told[i] != nil {
						peer.ApplyReports(p.now, Report{Incarnation: names[i], At: p.now, Spent: told[i]})
					}
				}
			}
		}
		p.due += tokens * pressStep.Seconds() / pressRequest
		asking := p.back[p.now] + int(p.due)
		p.due -= float64(int(p.due))
		delete(p.back, p.now)
		for range asking {
			p.ask(p.instances[p.rng.IntN(over)])
		}
	}
}

func (p *pressed) ask(l *Limiter) {
	wait, ok := l.Admit(p.now, "a", pressRequest)
	if ok {
		p.admitted = append(p.admitted, admission{p.now, pressRequest})
		return
	}
	p.refusals++
	p.back[p.now+max(wait, leastReturn).Truncate(pressStep)+pressStep]++
}

// A caller is refused and told to come back when its account's bucket has
// filled, and so are all the others, on every instance. They come back
// together; each instance finds tokens in the bucket, hears of the others'
// spending only with their next message, and admits everyone. The account gets
// far more than its rate and burst in one window, and then nothing for
// seconds.
func TestCallersThatComeBackTogetherStayWithinTheRate(t *testing.T) {
	is := is.New(t)
	p := newPressed(largeFleet, largePace, pressRate)
	const usual = 0.55 * pressRate
	p.run(5*time.Second, usual, largeFleet)
	p.run(10*time.Second, 7*usual, largeFleet)
	const (
		window = 8 * time.Second
		// overage is the part of the allowance that may be exceeded, slack
		// the tokens beyond.
		overage = 0.1
		slack   = 140_000
	)
	most := p.most(window)
	t.Logf("%.0f tokens in %v", most, window)
	is.True(most <= (pressRate*window.Seconds()+pressRate)*(1+overage)+slack)
	// What the account is owed it gets.
	is.True(most >= pressRate*window.Seconds())
}

// An account within its rate is not refused because its instances may admit
// only shares, however its callers are spread: over a large fleet or a small
// one, or all at one instance, from the start or since a moment ago.
func TestSharesRefuseNothingWithinTheRate(t *testing.T) {
	for _, c := range []struct {
		name      string
		instances int
		pace      time.Duration
		over      int
		usual     float64
	}{
		{"large fleet", largeFleet, largePace, largeFleet, 0.55},
		{"large fleet, near the rate", largeFleet, largePace, largeFleet, 0.9},
		{"few instances of a large fleet", largeFleet, largePace, 3, 0.9},
		{"one instance of a large fleet", largeFleet, largePace, 1, 0.9},
		{"small fleet", 6, 150 * time.Millisecond, 6, 0.9},
		{"one instance of a small fleet", 6, 150 * time.Millisecond, 1, 0.9},
		{"one instance", 1, 150 * time.Millisecond, 1, 0.9},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := newPressed(c.instances, c.pace, pressRate)
			p.run(2*time.Second, 0, 1) // the bucket fills
			p.run(4*time.Second, c.usual*pressRate, c.instances)
			p.run(4*time.Second, c.usual*pressRate, c.over)
			is.Equal(p.refusals, 0)
		})
	}
}

// An account presses, and the peers of an instance are gone: it tells nobody
// any more what it admits. That is no reason to refuse: the bucket is its own,
// and once the debt is paid all of the rate is admitted.
func TestInstanceThatHearsNobodyHasItsPart(t *testing.T) {
	is := is.New(t)
	p := newPressed(largeFleet, largePace, pressRate)
	p.run(5*time.Second, 2*pressRate, largeFleet)
	alone := p.instances[0]
	start := p.now + 2*time.Second // no peer is heard any more
	alone.SetFleetSize(start, 1, PeerTimeout)
	owed := alone.accounts["a"].balance
	const length = 4 * time.Second
	admitted := 0.0
	for now := start; now < start+length; now += pressStep {
		for range 4 {
			if _, ok := alone.Admit(now, "a", pressRequest); ok {
				admitted += pressRequest
			}
		}
	}
	is.True(admitted >= pressRate*(length-pressStep).Seconds()+owed-pressRequest)
}
