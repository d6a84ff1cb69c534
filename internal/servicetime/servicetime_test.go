package servicetime

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// engine is a target that takes a fixed time to a first token and prefills at a
// rate that falls with the context.
type engine struct {
	latency     time.Duration
	rate, curve float64
}

func (e engine) took(prompt, uncached float64) time.Duration {
	work := uncached * (1 + e.curve*(prompt-uncached/2))
	return e.latency + time.Duration(work/e.rate*float64(time.Second))
}

// observe sends prompts of several sizes; each third one waits behind work that
// nobody knows of.
func observe(e *Estimator, target string, at engine, n int) {
	for i := range n {
		s := Sample{At: time.Duration(i) * 50 * time.Millisecond, NoOtherWork: true}
		s.PromptTokens = []float64{300, 3000, 5000, 12000, 25000}[i%5]
		s.UncachedTokens = s.PromptTokens
		s.Elapsed = at.took(s.PromptTokens, s.UncachedTokens)
		if i%3 == 0 {
			s.Elapsed += 150 * time.Millisecond
		}
		e.Observe(target, s)
	}
}

func within(a, b, part float64) bool { return math.Abs(a-b) <= part*b }

// Guards against queues that are estimated too short at slow targets and behind
// long prompts.
func TestLearnsRatesAndCurve(t *testing.T) {
	is := is.New(t)
	e := New(80_000)
	fast := engine{latency: 95 * time.Millisecond, rate: 92_000, curve: 3e-5}
	slow := fast
	slow.rate = 60_000
	for range 20 {
		observe(e, "fast", fast, 60)
		observe(e, "slow", slow, 60)
	}
	is.True(within(e.Latency().Seconds(), fast.latency.Seconds(), 0.15))
	is.True(within(e.Rate("fast"), fast.rate, 0.2))
	is.True(within(e.Rate("slow"), slow.rate, 0.2))
	is.True(within(e.EquivalentTokens(25_000, 25_000), 25_000*(1+fast.curve*12_500), 0.2))
	e.Retain(func(target string) bool { return target == "fast" })
	is.Equal(e.Rate("slow"), 80_000.0)
}

// Guards against estimates that take the queue of a busy target for its rate.
func TestBusyTargetsTellOfNoRate(t *testing.T) {
	is := is.New(t)
	e := New(80_000)
	for i := range 100 {
		e.Observe("t", Sample{At: time.Duration(i) * time.Second, Elapsed: 2 * time.Second, PromptTokens: 5000, UncachedTokens: 5000})
	}
	is.Equal(e.Rate("t"), 80_000.0)
}
