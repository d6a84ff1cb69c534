package placement

import (
	"fmt"
	"math"
	"testing"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/prefix"
)

// homes returns the number of prefixes, of the given number, whose home is each target.
func homes(t *testing.T, f *fixture, prefixes uint64) []int {
	t.Helper()
	counts := make([]int, f.pool.Len())
	for key := range prefixes {
		counts[f.pick(t, request(key, 3)).Index]++
	}
	return counts
}

func weightsOf(n int, weight func(i int) float64) map[string]float64 {
	weights := map[string]float64{}
	for i := range n {
		weights[fmt.Sprintf("target-%d", i)] = weight(i)
	}
	return weights
}

// The load: targets of which one in three is 2.4 times slower are home to as many prefixes
// as the others.
func TestHomesFollowCapacity(t *testing.T) {
	is := is.New(t)
	f := newFixture(18)
	weight := func(i int) float64 {
		if i%3 == 0 {
			return 1
		}
		return 2.4
	}
	f.pool.SetCapacityWeights(weightsOf(18, weight))
	const prefixes, totalWeight = 20_000, 6 + 12*2.4
	for i, n := range homes(t, f, prefixes) {
		utilisation := float64(n) / prefixes * totalWeight / weight(i)
		is.True(math.Abs(utilisation-1) < 0.15)
	}
}

// Guards against prefixes that lose their cached pieces because the weight of another target
// has changed.
func TestWeightChangeMovesOnlyKeysOfItsTarget(t *testing.T) {
	is := is.New(t)
	f := newFixture(18)
	weights := weightsOf(18, func(i int) float64 { return float64(1 + i%3) })
	f.pool.SetCapacityWeights(weights)
	before := map[uint64]int{}
	for key := range uint64(2000) {
		before[key] = f.pick(t, request(key, 3)).Index
	}
	const changed = 4
	weights["target-4"] *= 1.25
	f.pool.SetCapacityWeights(weights)
	moved := 0
	for key, was := range before {
		if now := f.pick(t, request(key, 3)).Index; now != was {
			is.Equal(now, changed)
			moved++
		}
	}
	is.True(moved > 0 && moved < 100)
}

// Guards against homes that move in a deployment whose targets are alike.
func TestEqualWeightsKeepTheOrder(t *testing.T) {
	is := is.New(t)
	f := newFixture(50)
	seeds, rejected := f.pool.seeds, f.pool.rejected
	inverse := make([]float64, 50)
	for i := range inverse {
		inverse[i] = 1.0 / 90_000
	}
	for key := range uint64(5000) {
		plain := topRanked(nil, prefix.Hash(mix(key)), seeds, rejected, 16)
		weighted := topRankedWeighted(nil, prefix.Hash(mix(key)), seeds, inverse, rejected, 16)
		for i := range plain {
			is.Equal(plain[i].index, weighted[i].index)
		}
	}
	f.pool.SetCapacityWeights(weightsOf(50, func(int) float64 { return 7 }))
	is.True(f.pool.inverseWeights == nil)
	f.pool.SetCapacityWeights(nil)
	is.True(f.pool.inverseWeights == nil)
}

// Guards against a target without an agreed rate that gets all prefixes or none.
func TestTargetWithoutWeightGetsTheMean(t *testing.T) {
	is := is.New(t)
	f := newFixture(4)
	f.pool.SetCapacityWeights(map[string]float64{"target-0": 1, "target-1": 3, "target-2": math.NaN()})
	is.Equal(f.pool.inverseWeights, []float64{1, 1.0 / 3, 0.5, 0.5})
}

// Guards against deadlines by the rate of one arbitrary target.
func TestPrefillTimeIsOfTheMeanRate(t *testing.T) {
	is := is.New(t)
	f := newFixture(4)
	f.pool.SetPrefillRate(0, 40_000)
	f.pool.SetPrefillRate(0, 30_000)
	is.Equal(f.pool.MeanPrefillRate(), 15_000.0)
	is.Equal(f.picker.PrefillTime(15_000).Seconds(), 1.0)
}

func TestWeightedPickDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	f := newFixture(18)
	f.pool.SetCapacityWeights(weightsOf(18, func(i int) float64 { return float64(1 + i%3) }))
	r := request(1, 6)
	is.Equal(testing.AllocsPerRun(100, func() { _, _ = f.picker.Pick(0, r, f.rng) }), 0.0)
}

func BenchmarkWeightedPick(b *testing.B) {
	for _, n := range []int{18, 100, 10000} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			f := newFixture(n)
			f.pool.SetCapacityWeights(weightsOf(n, func(i int) float64 { return float64(1 + i%3) }))
			requests := make([]*Request, 64)
			for i := range requests {
				requests[i] = request(uint64(i), 6)
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				_, _ = f.picker.Pick(0, requests[i%len(requests)], f.rng)
				i++
			}
		})
	}
}
