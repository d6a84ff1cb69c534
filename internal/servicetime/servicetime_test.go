package servicetime

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// engine is a target with a fixed latency to the first token and a prefill rate that
// falls with the length of the context.
type engine struct {
	latency            time.Duration
	rate, contextSlope float64
}

func (e engine) firstTokenTime(prompt, uncached float64) time.Duration {
	work := uncached * (1 + e.contextSlope*(prompt-uncached/2))
	return e.latency + time.Duration(work/e.rate*float64(time.Second))
}

// observe sends n prompts of several sizes. Every third one waits behind work that the
// estimator does not know of.
func observe(e *Estimator, target string, simulated engine, n int) {
	for i := range n {
		s := Sample{At: time.Duration(i) * 50 * time.Millisecond, NoOtherWork: true}
		s.PromptTokens = []float64{300, 3000, 5000, 12000, 25000}[i%5]
		s.UncachedTokens = s.PromptTokens
		s.Elapsed = simulated.firstTokenTime(s.PromptTokens, s.UncachedTokens)
		if i%3 == 0 {
			s.Elapsed += 150 * time.Millisecond
		}
		e.Observe(target, s)
	}
}

func closeTo(got, want, tolerance float64) bool { return math.Abs(got-want) <= tolerance*want }

// Wrong rates or a wrong context slope would make the queues at slow targets and behind
// long prompts look too short.
func TestLearnsRatesAndContextSlope(t *testing.T) {
	is := is.New(t)
	e := New(80_000)
	fast := engine{latency: 95 * time.Millisecond, rate: 92_000, contextSlope: 3e-5}
	slow := fast
	slow.rate = 60_000
	for range 20 {
		observe(e, "fast", fast, 60)
		observe(e, "slow", slow, 60)
	}
	is.True(closeTo(e.Latency().Seconds(), fast.latency.Seconds(), 0.15))
	is.True(closeTo(e.Rate("fast"), fast.rate, 0.2))
	is.True(closeTo(e.Rate("slow"), slow.rate, 0.2))
	is.True(closeTo(e.EquivalentTokens(25_000, 25_000), 25_000*(1+fast.contextSlope*12_500), 0.2))
	e.Retain(func(target string) bool { return target == "fast" })
	is.Equal(e.Rate("slow"), 80_000.0)
}

// The queueing time at a busy target must not be mistaken for a low prefill rate.
func TestBusyTargetsDoNotChangeRate(t *testing.T) {
	is := is.New(t)
	e := New(80_000)
	for i := range 100 {
		e.Observe("t", Sample{At: time.Duration(i) * time.Second, Elapsed: 2 * time.Second, PromptTokens: 5000, UncachedTokens: 5000})
	}
	is.Equal(e.Rate("t"), 80_000.0)
}
