package slopes

import (
	"fmt"
	"math/rand/v2"

	"github.com/mastictray/mastictray/internal/cacheindex"
	"github.com/mastictray/mastictray/internal/fairqueue"
	"github.com/mastictray/mastictray/internal/placement"
	"github.com/mastictray/mastictray/internal/prefix"
)

const (
	pieceTokens  = 4096
	promptPieces = 6
)

func servingSlopes() []Slope {
	targets := []int{125, 500, 1250, 5000, 10000}
	return []Slope{
		measureSlope("decision", "targets of the pool", "ns a placement", targets, placementNanos),
		measureSlope("pool-memory", "targets of the pool", "bytes of heap", targets, func(n int) float64 {
			return measureHeapBytes(func() any { return newPool(n) })
		}),
		measureSlope("queue", "accounts with waiting requests", "ns for one push and pop", []int{10, 50, 150, 440}, queueNanos),
		measureSlope("prefix-hash", "bytes of prompt", "ns", []int{1 << 16, 1 << 18, 1 << 20, 1 << 22}, func(n int) float64 {
			prompt := make([]byte, n)
			return minNanosPerOp(1, func() { prefix.Chain(nil, 1, prompt, 16384) })
		}),
	}
}

func newPool(n int) *placement.Pool {
	list := make([]placement.Target, n)
	for i := range list {
		list[i] = placement.Target{
			Name: fmt.Sprintf("target-%05d", i), Domain: fmt.Sprintf("domain-%02d", i%11),
			Incarnation: "0123456789abcdef", Version: "v1", PrefillTokensPerSecond: 30000,
		}
	}
	return placement.NewPool(list, "v1", placement.DefaultFilters())
}

func placementNanos(n int) float64 {
	const rounds = 2000
	picker := placement.NewPicker(newPool(n), cacheindex.New(1<<20), placement.DefaultOptions())
	rng := rand.New(rand.NewPCG(1, 1))
	r := placement.Request{PieceTokens: pieceTokens, PromptTokens: promptPieces * pieceTokens, Chain: make([]prefix.Hash, promptPieces)}
	return minNanosPerOp(rounds, func() {
		for i := range rounds {
			r.Chain[1] = prefix.Hash(i * 7919)
			_, _ = picker.Pick(0, &r, rng)
		}
	})
}

func queueNanos(accounts int) float64 {
	const rounds = 5000
	q := fairqueue.New[int](fairqueue.Options{MaxItems: 1 << 20})
	names := make([]string, accounts)
	for i := range names {
		names[i] = fmt.Sprint("account-", i)
		q.Push(0, fairqueue.Item[int]{Account: names[i], Cost: 100})
	}
	return minNanosPerOp(rounds, func() {
		for i := range rounds {
			q.Push(0, fairqueue.Item[int]{Account: names[i%accounts], Cost: 100})
			q.Pop(0)
		}
	})
}

func cacheEventSlopes() []Slope {
	sizes := []int{10000, 20000, 40000, 80000}
	id := cacheindex.Identity{Target: "target-00001", Incarnation: "0123456789abcdef", Version: "v1"}
	newIndex := func(n int) *cacheindex.Index {
		index := cacheindex.New(n * cacheindex.EntryBytes)
		index.Observe(0, id)
		for i := range n {
			index.Stored(id, []prefix.Hash{prefix.Hash(i)})
		}
		return index
	}
	return []Slope{
		measureSlope("cache-index-memory", "known pieces", "bytes of heap", sizes, func(n int) float64 {
			return measureHeapBytes(func() any { return newIndex(n) })
		}),
		measureSlope("event-apply", "cache events", "ns for all", sizes, func(n int) float64 {
			return minNanosPerOp(1, func() { newIndex(n) })
		}),
		measureSlope("event-bytes", "pieces in an answer of events", "bytes of JSON", []int{10, 100, 1000, 10000}, eventBytes),
	}
}

// eventBytes returns the size of a response to GET /events with n events of one
// piece each.
func eventBytes(n int) float64 {
	size := len(`{"incarnation":"0123456789abcdef","next":1234567,"events":[]}`)
	return float64(size + n*len(`{"seq":1234567,"op":"stored","pieces":["0123456789abcdef"]},`))
}
