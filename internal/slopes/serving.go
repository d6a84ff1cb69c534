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
	pieceTokens = 4096
	pieces      = 6
)

func serving() []Slope {
	targets := []int{125, 500, 1250, 5000, 10000}
	return []Slope{
		measure("decision", "targets of the pool", "ns a placement", targets, decisionNanos),
		measure("pool-memory", "targets of the pool", "bytes of heap", targets, func(n int) float64 {
			return heapBytes(func() any { return newPool(n) })
		}),
		measure("queue", "accounts with waiting requests", "ns for one push and pop", []int{10, 50, 150, 440}, queueNanos),
		measure("prefix-hash", "bytes of prompt", "ns", []int{1 << 16, 1 << 18, 1 << 20, 1 << 22}, func(n int) float64 {
			prompt := make([]byte, n)
			return nanos(1, func() { prefix.Chain(nil, 1, prompt, 16384) })
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

func decisionNanos(n int) float64 {
	const rounds = 2000
	picker := placement.NewPicker(newPool(n), cacheindex.New(1<<20), placement.DefaultOptions())
	rng := rand.New(rand.NewPCG(1, 1))
	r := placement.Request{PieceTokens: pieceTokens, PromptTokens: pieces * pieceTokens, Chain: make([]prefix.Hash, pieces)}
	return nanos(rounds, func() {
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
	return nanos(rounds, func() {
		for i := range rounds {
			q.Push(0, fairqueue.Item[int]{Account: names[i%accounts], Cost: 100})
			q.Pop(0)
		}
	})
}

func cacheEvents() []Slope {
	sizes := []int{10000, 20000, 40000, 80000}
	id := cacheindex.Identity{Target: "target-00001", Incarnation: "0123456789abcdef", Version: "v1"}
	fill := func(n int) *cacheindex.Index {
		s := cacheindex.New(n * cacheindex.EntryBytes)
		s.Observe(0, id)
		for i := range n {
			s.Stored(id, []prefix.Hash{prefix.Hash(i)})
		}
		return s
	}
	return []Slope{
		measure("cache-index-memory", "known pieces", "bytes of heap", sizes, func(n int) float64 {
			return heapBytes(func() any { return fill(n) })
		}),
		measure("event-apply", "cache events", "ns for all", sizes, func(n int) float64 {
			return nanos(1, func() { fill(n) })
		}),
		measure("event-bytes", "pieces in an answer of events", "bytes of JSON", []int{10, 100, 1000, 10000}, eventBytes),
	}
}

// eventBytes is the size of an answer of GET /events, one piece an event.
func eventBytes(n int) float64 {
	size := len(`{"incarnation":"0123456789abcdef","next":1234567,"events":[]}`)
	return float64(size + n*len(`{"seq":1234567,"op":"stored","pieces":["0123456789abcdef"]},`))
}
