package ratelease

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/mastictray/mastictray/internal/lease"
)

// A caller sends several times its rate while processes die, are suspended,
// resume and restart, domains are partitioned from each other and from the log,
// and answers are lost or late. No window may hold more than rate*window +
// burst. This detects a token issued twice, a grant spent after its granter
// refilled, and a lease used past its end.
func TestWindowInvariantUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), 3, 2, 1000, float64(rapid.IntRange(500, 5000).Draw(t, "burst")), 10*time.Second)
		f.lossProbability = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "lost")
		f.slowProbability = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "slow")
		scale := rapid.SampledFrom([]float64{0.01, 0.1, 0.3}).Draw(t, "cost")
		f.cost = func(g *rand.Rand) float64 { return f.burst * scale * g.Float64() }
		f.run(2 * time.Second)
		for range rapid.IntRange(5, 25).Draw(t, "steps") {
			f.fault(rapid.SampledFrom(faults).Draw(t, "fault"), rapid.IntRange(0, len(f.procs)-1).Draw(t, "process"))
			f.run(time.Duration(rapid.SampledFrom([]int{5, 20, 100, 300, 2000, 4000}).Draw(t, "ms")) * time.Millisecond)
		}
		if f.maxSpendable > f.burst+1e-6 {
			t.Fatalf("%.3f tokens spendable at once, burst %.0f", f.maxSpendable, f.burst)
		}
		if level, at := f.lowestLevel(); level < -1e-6 {
			t.Fatalf("window invariant broken by %.3f tokens at %v", -level, at)
		}
	})
}

var faults = []string{
	"idle", "flood", "skew", "large request", "kill", "freeze", "thaw", "restart", "restart all", "cut links", "cut log",
	"log down", "heal", "split", "lower limits", "restore limits",
}

// fault applies one fault, to the process at index where it concerns one.
func (f *fleet) fault(kind string, index int) {
	p := f.procs[index]
	switch kind {
	case "idle", "flood", "skew":
		for i := range f.demand {
			f.demand[i] = map[string]float64{"idle": 0, "flood": 1, "skew": 0}[kind]
		}
		if kind == "skew" {
			f.demand[index] = 0.5
		}
	case "large request": // collects tokens from all peers and often times out
		if !p.dead && !p.suspended {
			f.request(p, f.burst)
		}
	case "lower limits":
		f.configure(0.4)
	case "restore limits":
		f.configure(1)
	case "split":
		f.moveSplitTo(p)
	case "kill":
		p.dead = true
	case "freeze", "thaw":
		p.suspended = kind == "freeze"
	case "restart":
		f.start(index)
	case "restart all":
		for i := range f.procs {
			f.start(i)
		}
	case "cut links":
		f.linkCut[p.domain] = true
	case "cut log":
		f.logCut[p.domain] = true
	case "log down":
		f.logDown = true
	case "heal":
		f.logDown = false
		clear(f.linkCut)
		clear(f.logCut)
	default:
		panic(fmt.Sprintf("no fault %q", kind))
	}
}

// moveSplitTo changes the split so that most of the rate goes to one domain.
func (f *fleet) moveSplitTo(p *process) {
	row := lease.AccountSplit{Account: "acct"}
	for _, d := range f.domains() {
		n := uint16(50)
		if d == p.domain {
			n = 900
		}
		row.Shares = append(row.Shares, lease.DomainShare{Domain: d, Thousandths: n})
	}
	f.append(p, lease.Record{Kind: lease.KindSplit, Body: lease.Split{Accounts: []lease.AccountSplit{row}}})
}

// configure scales the rate and burst; the instances apply it one after another.
func (f *fleet) configure(scale float64) {
	f.limitScale = scale
	for _, p := range f.procs {
		f.schedule(f.delay(), p, func() {
			p.limiter.SetAccount(f.clock(p), "acct", scale*f.rate, scale*f.burst)
		})
	}
}
