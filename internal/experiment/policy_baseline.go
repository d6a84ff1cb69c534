package experiment

import (
	"time"

	"github.com/mastictray/mastictray/internal/cacheindex"
	"github.com/mastictray/mastictray/internal/placement"
	"github.com/mastictray/mastictray/internal/prefix"
)

// baseline sends each request immediately to the engine that choose returns, and
// refuses the request if that is negative.
type baseline struct {
	router      *router
	choose      func(b *baseline, routed *routedRequest) int
	outstanding []int
	lastEngine  int
}

func newBaseline(choose func(*baseline, *routedRequest) int) func(*router) policy {
	return func(r *router) policy {
		return &baseline{router: r, choose: choose, outstanding: make([]int, len(r.seenUp)), lastEngine: r.rng.IntN(len(r.seenUp))}
	}
}

func (b *baseline) handleRequest(routed *routedRequest) {
	i := b.choose(b, routed)
	if i < 0 {
		b.router.refuse(routed)
		return
	}
	b.outstanding[i]++
	b.router.send(i, routed)
}

func (b *baseline) handleLoadReport(int, time.Duration, cacheindex.Identity, float64) {}

func (b *baseline) handleCacheEvent(cacheindex.Identity, []prefix.Hash, []prefix.Hash) {}

func (b *baseline) handleAnswer(e int, _ *routedRequest, _ int) { b.outstanding[e]-- }

func (b *baseline) handleFailure(e int, _ *routedRequest) { b.outstanding[e]-- }

// restart keeps the count of outstanding requests, since their connections survive a
// simulated restart.
func (b *baseline) restart() {}

func roundRobin(b *baseline, _ *routedRequest) int {
	for range b.router.seenUp {
		b.lastEngine = (b.lastEngine + 1) % len(b.router.seenUp)
		if b.router.usable(b.lastEngine) {
			return b.lastEngine
		}
	}
	return -1
}

func leastOutstanding(b *baseline, _ *routedRequest) int {
	best := -1
	start := b.router.rng.IntN(len(b.router.seenUp))
	for k := range b.router.seenUp {
		i := (start + k) % len(b.router.seenUp)
		if b.router.usable(i) && (best < 0 || b.outstanding[i] < b.outstanding[best]) {
			best = i
		}
	}
	return best
}

// loadBoundFactor limits the outstanding requests of an engine, as a multiple of the
// mean, for prefix hashing with bounded load.
const loadBoundFactor = 1.25

// prefixHashBounded returns the first engine below the load bound in the rendezvous
// order of the prompt's prefix.
func prefixHashBounded(b *baseline, routed *routedRequest) int {
	chain := routed.request.chain(b.router.sim.workload, b.router.sim.wantedVersion)
	n := min(len(chain), placement.DefaultOptions().AffinityPieces)
	if n == 0 {
		return leastOutstanding(b, routed)
	}
	sum, live := 1, 0
	usable := make([]bool, len(b.router.seenUp))
	for i := range usable {
		if usable[i] = b.router.usable(i); usable[i] {
			sum += b.outstanding[i]
			live++
		}
	}
	bound := loadBoundFactor * float64(sum) / float64(max(1, live))
	for _, i := range placement.RendezvousOrder(chain[n-1], b.router.sim.engineNames, usable) {
		if float64(b.outstanding[i]) < bound {
			return i
		}
	}
	return leastOutstanding(b, routed)
}

// oracle returns the engine with the lowest cost. It knows the current state of every
// cache and queue, including the requests in transit.
func oracle(b *baseline, routed *routedRequest) int {
	sim := b.router.sim
	chain := routed.request.chain(sim.workload, sim.wantedVersion)
	best, bestCost := -1, 0.0
	for i, e := range sim.engines {
		if !e.up || e.version != sim.wantedVersion || !sim.reachable(b.router.domain, e.domain) {
			continue
		}
		missing := float64((len(chain) - e.expectedPrefixLen(chain)) * sim.workload.PieceTokens)
		cost := e.queuedTokens() + e.inboundTokens + oracleRecomputeFactor*missing
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// oracleRecomputeFactor is the cost of a recomputed token relative to that of a queued
// token. It is the same as in the product.
var oracleRecomputeFactor = placement.DefaultOptions().RecomputeFactor
