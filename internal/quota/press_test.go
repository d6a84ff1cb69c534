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
		l.SetFleet(0, n, max(PeerTimeout, 4*pace))
		p.instances = append(p.instances, l)
	}
	return p
}

// run lets callers ask for so many tokens a second, spread over the first so
// many instances.
func (p *pressed) run(length time.Duration, tokens float64, over int) {
	told := make([]map[string]float64, len(p.instances))
	for end := p.now + length; p.now < end; p.now += pressStep {
		if p.now%p.pace == 0 {
			for i, l := range p.instances {
				told[i] = l.Spent()
			}
		}
		if p.now%p.pace == onTheWay {
			for i := range p.instances {
				for j, peer := range p.instances {
					if i != j && told[i] != nil {
						peer.Heard(p.now, fmt.Sprint(i), told[i])
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
