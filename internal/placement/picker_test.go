package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/cacheindex"
	"github.com/mastictray/mastictray/internal/prefix"
)

const testPieceTokens = 4000

func testTargets(n int) []Target {
	targets := make([]Target, n)
	for i := range targets {
		targets[i] = Target{
			Name: fmt.Sprintf("target-%d", i), Domain: fmt.Sprintf("domain-%d", i%3),
			Incarnation: "i1", Version: "v1", PrefillTokensPerSecond: 10000,
		}
	}
	return targets
}

type fixture struct {
	pool   *Pool
	index  *cacheindex.Index
	picker *Picker
	rng    *rand.Rand
}

func newFixture(n int) *fixture {
	f := &fixture{
		pool: NewPool(testTargets(n), "v1", DefaultFilters()), index: cacheindex.New(1 << 20),
		rng: rand.New(rand.NewPCG(1, 1)),
	}
	for i := range n {
		t := f.pool.Target(i)
		t.Cache = f.index.Observe(0, identity(t))
	}
	f.picker = NewPicker(f.pool, f.index, DefaultOptions())
	f.picker.SetCacheStateKnown()
	return f
}

func identity(t *Target) cacheindex.Identity {
	return cacheindex.Identity{Target: t.Name, Incarnation: t.Incarnation, Version: t.Version}
}

func request(key uint64, pieces int) *Request {
	r := &Request{PieceTokens: testPieceTokens, PromptTokens: pieces*testPieceTokens + 200}
	for i := range pieces {
		r.Chain = append(r.Chain, prefix.Hash(mix(key+uint64(i)<<32)))
	}
	return r
}

func (f *fixture) pick(t *testing.T, r *Request) Decision {
	t.Helper()
	d, err := f.picker.Pick(0, r, f.rng)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// All instances restart at once and lose their state. Each prefix must be placed on
// the same target as before, because the order depends on the prefix alone. If it
// were learnt, all targets would have to recompute their caches.
func TestRestartedInstancesAgree(t *testing.T) {
	is := is.New(t)
	before, after := newFixture(18), newFixture(18)
	after.rng = rand.New(rand.NewPCG(99, 7))
	for key := range uint64(200) {
		r := request(key, 5)
		is.Equal(before.pick(t, r).Index, after.pick(t, r).Index)
	}
}

// When a target leaves, only the prefixes whose home it was may move. If others moved
// too, one departure would cause cache misses on every target.
func TestDepartureMovesOnlyItsPrefixes(t *testing.T) {
	is := is.New(t)
	f := newFixture(18)
	const departed = 3
	first := map[uint64]int{}
	for key := range uint64(500) {
		first[key] = f.pick(t, request(key, 5)).Index
	}
	f.pool.Target(departed).Draining = true
	f.pool.ApplyFilters(departed)
	for key, was := range first {
		now := f.pick(t, request(key, 5)).Index
		is.True(now != departed)
		is.True(was == departed || now == was)
	}
}

func TestFiltersRejectTargets(t *testing.T) {
	cases := map[string]func(*Target){
		"draining":     func(t *Target) { t.Draining = true },
		"version":      func(t *Target) { t.Version = "v0" },
		"breaker":      func(t *Target) { t.BreakerOpen = true },
		"quarantine":   func(t *Target) { t.Quarantined = true },
		"reachability": func(t *Target) { t.Unreachable = true },
	}
	for name, set := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(2)
			set(f.pool.Target(0))
			f.pool.ApplyFilters(0)
			is.Equal(f.pool.RejectedBy(0), []string{name})
			for key := range uint64(20) {
				is.Equal(f.pick(t, request(key, 3)).Index, 1)
			}
			set(f.pool.Target(1))
			f.pool.ApplyFilters(1)
			_, err := f.picker.Pick(0, request(1, 3), f.rng)
			is.Equal(err, ErrNoTarget)
		})
	}
}

// The queue of a hot prefix's home target grows until recomputing the prefix
// elsewhere is faster. The request must go to the next target in rendezvous order,
// which every other instance tries next as well.
func TestHotPrefixSpreadsInRendezvousOrder(t *testing.T) {
	is := is.New(t)
	f := newFixture(18)
	r := request(1, 5)
	first := f.pick(t, r).Index
	f.index.Answered(identity(f.pool.Target(first)), r.Chain)
	f.pool.Target(first).Load.Sent(0, 5000)
	is.Equal(f.pick(t, r).Index, first) // queueing for 0.5 s costs less than recomputing 20,000 tokens
	f.pool.Target(first).Load.Sent(0, 60000)
	second := f.pick(t, r).Index
	f.index.Answered(identity(f.pool.Target(second)), r.Chain)
	f.pool.Target(second).Load.Sent(0, 1000)
	is.True(second != first)
	is.Equal(f.pick(t, r).Index, second)
}

// Load reports arrive every few hundred milliseconds. An instance sends ten requests
// between two reports. If only the report counted, all ten would go to the target
// that was idle then, and queue there.
func TestRequestsSentSinceReportCountAsLoad(t *testing.T) {
	is := is.New(t)
	f := newFixture(10)
	used := map[int]bool{}
	for range 10 {
		r := &Request{PieceTokens: testPieceTokens, PromptTokens: 3000}
		d := f.pick(t, r)
		f.pool.Target(d.Index).Load.Sent(0, d.UncachedTokens)
		used[d.Index] = true
	}
	is.Equal(len(used), 10)
}

func TestPrefillCostUsesTransferWhereCheaper(t *testing.T) {
	is := is.New(t)
	o := DefaultOptions()
	o.TransferTokensPerSecond = 100000
	s := prefillScorer{recomputeFactor: 1, transferRate: o.TransferTokensPerSecond, transferSetup: 10 * time.Millisecond, rate: (*Target).prefillRate}
	target := testTargets(1)[0]
	r := request(1, 1)
	r.PromptTokens = testPieceTokens
	is.Equal(s.Cost(0, r, &target, &Candidate{}), 400*time.Millisecond) // no target has it cached
	r.FetchablePieces = 1
	is.Equal(s.Cost(0, r, &target, &Candidate{}), 50*time.Millisecond) // recomputing takes 400 ms
}

func TestExplainNamesWinnerAndRejected(t *testing.T) {
	is := is.New(t)
	f := newFixture(4)
	f.pool.Target(2).Draining = true
	f.pool.ApplyFilters(2)
	e := f.picker.Explain(0, request(1, 3), f.rng)
	is.Equal(len(e.Candidates), 3)
	is.Equal(e.Rejected[0].Target, "target-2")
	is.Equal(e.Rejected[0].RejectedBy, []string{"draining"})
	is.Equal(e.Winner, e.Candidates[0].Target)
	is.True(e.Reason != "")
}

func TestPickDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	f := newFixture(18)
	r := request(1, 6)
	is.Equal(testing.AllocsPerRun(100, func() { _, _ = f.picker.Pick(0, r, f.rng) }), 0.0)
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{12, 18, 100, 1000, 10000} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			f := newFixture(n)
			requests := make([]*Request, 64)
			for i := range requests {
				requests[i] = request(uint64(i), 6)
				d, _ := f.picker.Pick(0, requests[i], f.rng)
				f.index.Answered(identity(f.pool.Target(d.Index)), requests[i].Chain)
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
