package experiment

import (
	"time"

	"github.com/mastictray/mastictray/internal/cacheindex"
	"github.com/mastictray/mastictray/internal/placement"
	"github.com/mastictray/mastictray/internal/prefix"
)

// baseline sends each request at once to the engine that choose names.
type baseline struct {
	r           *router
	choose      func(b *baseline, a *attempt) int
	outstanding []int
	turn        int
}

func newBaseline(choose func(*baseline, *attempt) int) func(*router) policy {
	return func(r *router) policy {
		return &baseline{r: r, choose: choose, outstanding: make([]int, len(r.up)), turn: r.rng.IntN(len(r.up))}
	}
}

func (b *baseline) arrive(a *attempt) {
	i := b.choose(b, a)
	if i < 0 {
		b.r.refuse(a)
		return
	}
	b.outstanding[i]++
	b.r.send(i, a)
}

func (b *baseline) report(int, time.Duration, cacheindex.Identity, float64) {}

func (b *baseline) cacheEvent(cacheindex.Identity, []prefix.Hash, []prefix.Hash) {}

func (b *baseline) answered(e int, _ *attempt, _ int) { b.outstanding[e]-- }

func (b *baseline) failed(e int, _ *attempt) { b.outstanding[e]-- }

// restart keeps the count of outstanding requests: the experiment's routers
// keep their connections.
func (b *baseline) restart() {}

func roundRobin(b *baseline, _ *attempt) int {
	for range b.r.up {
		b.turn = (b.turn + 1) % len(b.r.up)
		if b.r.usable(b.turn) {
			return b.turn
		}
	}
	return -1
}

func leastOutstanding(b *baseline, _ *attempt) int {
	best := -1
	start := b.r.rng.IntN(len(b.r.up))
	for k := range b.r.up {
		i := (start + k) % len(b.r.up)
		if b.r.usable(i) && (best < 0 || b.outstanding[i] < b.outstanding[best]) {
			best = i
		}
	}
	return best
}

// loadBound is the part over the mean that one engine may hold under prefix
// hash with bounded load.
const loadBound = 1.25

// prefixHashBounded takes the first engine in rendezvous order of the prefix
// that is within the load bound.
func prefixHashBounded(b *baseline, a *attempt) int {
	chain := a.call.chain(b.r.f.w, b.r.f.wanted)
	n := min(len(chain), placement.DefaultOptions().AffinityPieces)
	if n == 0 {
		return leastOutstanding(b, a)
	}
	sum, live := 1, 0
	usable := make([]bool, len(b.r.up))
	for i := range usable {
		if usable[i] = b.r.usable(i); usable[i] {
			sum += b.outstanding[i]
			live++
		}
	}
	bound := loadBound * float64(sum) / float64(max(1, live))
	for _, i := range placement.RendezvousOrder(chain[n-1], b.r.f.names, usable) {
		if float64(b.outstanding[i]) < bound {
			return i
		}
	}
	return leastOutstanding(b, a)
}

// oracle knows every cache and every queue at once, also what is on its way.
func oracle(b *baseline, a *attempt) int {
	f := b.r.f
	chain := a.call.chain(f.w, f.wanted)
	best, bestCost := -1, 0.0
	for i, e := range f.engines {
		if !e.up || e.version != f.wanted || !f.linked(b.r.domain, e.domain) {
			continue
		}
		missing := float64((len(chain) - e.coming(chain)) * f.w.PieceTokens)
		cost := e.queued() + e.inbound + oracleRecomputeFactor*missing
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// oracleRecomputeFactor weighs a recomputed token against a waiting one; it
// is the product's.
var oracleRecomputeFactor = placement.DefaultOptions().RecomputeFactor
