package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/cacheindex"
)

const (
	unequalTargets  = 90
	unequalSlowRate = 87_000.0  // tokens per second, of one target in three
	unequalFastRate = 212_000.0 // of the others
	unequalLoad     = 0.8       // share of the targets' prefill capacity in use
	// One prompt in four is long. Lengths in tokens are lognormal up to a limit.
	longShare                         = 0.25
	longMean, longSigma, longLimit    = 6600.0, 1.2, 54_000.0
	shortMean, shortSigma, shortLimit = 1800.0, 1.1, 6800.0
	// unequalLatency is the time to first token that is common to all prompts.
	unequalLatency  = 60 * time.Millisecond
	unequalStep     = 5 * time.Millisecond
	unequalDuration = 12 * time.Second
	// unequalUpdate is how late instances learn of each other's work.
	unequalUpdate = 325 * time.Millisecond
)

// unequalPrompt is a prompt without a first token.
type unequalPrompt struct {
	runningPrompt
	tokens float64
}

// unequalSim simulates instances that place prompts on targets of two speeds.
type unequalSim struct {
	rng     *rand.Rand
	rates   []float64
	pools   []*Pool
	pickers []*Picker
	queues  []float64
	work    []float64
	running []unequalPrompt
	times   []time.Duration
}

// newUnequalSim returns instances that assume the given rates; weighted ones also use them as
// capacity weights.
func newUnequalSim(instances int, assumed func(rate float64) float64, weighted bool) *unequalSim {
	s := &unequalSim{rng: rand.New(rand.NewPCG(3, 3)), queues: make([]float64, unequalTargets), work: make([]float64, unequalTargets)}
	weights := map[string]float64{}
	for i := range unequalTargets {
		rate := unequalFastRate
		if i%3 == 0 {
			rate = unequalSlowRate
		}
		s.rates = append(s.rates, rate)
		weights[fmt.Sprint("t", i)] = assumed(rate)
	}
	for range instances {
		list := make([]Target, unequalTargets)
		for i, rate := range s.rates {
			list[i] = Target{Name: fmt.Sprint("t", i), Incarnation: "1", PrefillTokensPerSecond: assumed(rate)}
		}
		o := DefaultOptions()
		o.MaxCandidates, o.QueueSlack = 4, 60*time.Millisecond // the gateway's settings
		o.UnequalQueueSlack = unequalUpdate
		pool := NewPool(list, "", DefaultFilters())
		if weighted {
			pool.SetCapacityWeights(weights)
		}
		s.pools = append(s.pools, pool)
		s.pickers = append(s.pickers, NewPicker(pool, cacheindex.New(1<<10), o))
	}
	return s
}

// promptTokens draws the length of a prompt.
func (s *unequalSim) promptTokens() float64 {
	mean, sigma, limit := shortMean, shortSigma, shortLimit
	if s.rng.Float64() < longShare {
		mean, sigma, limit = longMean, longSigma, longLimit
	}
	return min(limit, max(1, mean*math.Exp(sigma*s.rng.NormFloat64()-sigma*sigma/2)))
}

// run places prompts with the given choice of a target.
func (s *unequalSim) run(choose func(now time.Duration, instance int, tokens float64) int) {
	capacity, due := 0.0, 0.0
	for _, r := range s.rates {
		capacity += r
	}
	for now := time.Duration(0); now < unequalDuration; now += unequalStep {
		s.running = slices.DeleteFunc(s.running, func(p unequalPrompt) bool {
			if p.first <= now {
				s.pools[p.instance].Target(p.target).Load.Answered(p.sent, p.tokens)
			}
			return p.first <= now
		})
		if now%unequalUpdate == 0 {
			s.exchangeLoads()
		}
		for due += unequalLoad * capacity * unequalStep.Seconds(); due > 0; {
			instance, tokens := s.rng.IntN(len(s.pools)), s.promptTokens()
			s.send(now, instance, choose(now, instance, tokens), tokens)
			due -= tokens
		}
		for i, rate := range s.rates {
			s.queues[i] = max(0, s.queues[i]-rate*unequalStep.Seconds())
		}
	}
}

func (s *unequalSim) send(now time.Duration, instance, target int, tokens float64) {
	s.queues[target] += tokens
	s.work[target] += tokens
	first := unequalLatency + processingTime(s.queues[target], s.rates[target])
	s.pools[instance].Target(target).Load.Sent(now, tokens)
	s.running = append(s.running, unequalPrompt{runningPrompt{instance, target, now, now + first}, tokens})
	s.times = append(s.times, first)
}

func (s *unequalSim) exchangeLoads() {
	all := make([]float64, len(s.rates))
	for _, p := range s.running {
		all[p.target] += p.tokens
	}
	for _, pool := range s.pools {
		for i := range all {
			t := pool.Target(i)
			t.Load.SetPeerUnanswered(all[i] - t.Load.Unanswered())
		}
	}
}

// pick is the choice of the product.
func (s *unequalSim) pick(now time.Duration, instance int, tokens float64) int {
	d, err := s.pickers[instance].Pick(now, &Request{PromptTokens: int(tokens)}, s.rng)
	if err != nil {
		panic(err) // no target is rejected
	}
	return d.Index
}

// earliest is the choice of an instance that knows all queues and rates.
func (s *unequalSim) earliest(_ time.Duration, _ int, tokens float64) int {
	best := 0
	for i := range s.rates {
		if (s.queues[i]+tokens)/s.rates[i] < (s.queues[best]+tokens)/s.rates[best] {
			best = i
		}
	}
	return best
}

func (s *unequalSim) p95() time.Duration {
	slices.Sort(s.times)
	return s.times[len(s.times)*95/100]
}

// busiestToMean returns the highest utilisation of a target relative to the mean, and that of slow
// targets as a group relative to that of fast ones.
func (s *unequalSim) busiestToMean() (busiest, slowToFast float64) {
	sum, slow, fast := 0.0, 0.0, 0.0
	for i, r := range s.rates {
		u := s.work[i] / r
		sum += u
		busiest = max(busiest, u)
		if r == unequalSlowRate {
			slow += u / (unequalTargets / 3)
		} else {
			fast += u / (unequalTargets * 2 / 3)
		}
	}
	return busiest * unequalTargets / sum, slow / fast
}

// The load: 20 and 80 instances, which know each other's work 0.3 s late, use four fifths of the
// capacity of 90 targets, a third of which is 2.4 times slower.
func TestUnequalTargetsAreUsedByCapacity(t *testing.T) {
	for _, instances := range []int{20, 80} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			is := is.New(t)
			same := func(r float64) float64 { return r }
			ideal, weighted := newUnequalSim(instances, same, false), newUnequalSim(instances, same, true)
			ideal.run(ideal.earliest)
			weighted.run(weighted.pick)
			before := newUnequalSim(instances, func(float64) float64 { return 80_000 }, false)
			before.run(before.pick)
			busiest, slowToFast := weighted.busiestToMean()
			busiestBefore, slowToFastBefore := before.busiestToMean()
			t.Logf("p95 to first token: all-knowing %v, by capacity %v, one rate for all %v", ideal.p95(), weighted.p95(), before.p95())
			t.Logf("busiest to mean %.2f, before %.2f; slow to fast %.2f, before %.2f", busiest, busiestBefore, slowToFast, slowToFastBefore)
			is.True(busiest < 1.2)
			is.True(math.Max(slowToFast, 1/slowToFast) < 1.15)
			is.True(weighted.p95() < before.p95())
		})
	}
}

// The same load, against the bound for callers: first tokens at the 95th percentile within 1.3
// times those of an all-knowing choice.
func TestFirstTokensAgainstAllKnowingChoice(t *testing.T) {
	for _, instances := range []int{20, 80} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			is := is.New(t)
			same := func(r float64) float64 { return r }
			ideal, weighted := newUnequalSim(instances, same, false), newUnequalSim(instances, same, true)
			ideal.run(ideal.earliest)
			weighted.run(weighted.pick)
			t.Logf("p95 to first token: all-knowing %v, by capacity %v", ideal.p95(), weighted.p95())
			is.True(float64(weighted.p95()) < 1.3*float64(ideal.p95()))
		})
	}
}
