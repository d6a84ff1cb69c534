package rate

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/mastictray/mastictray/internal/lease"
)

// A caller of a large account sends several times its rate while processes
// die, freeze, thaw and restart, domains lose each other and the log, and
// answers are lost or come late. Whatever the order, no window of time may
// hold more than rate*window + burst: one token minted twice, a grant spent
// after its granter refilled, or a lease used past its end would show here.
func TestWindowInvariantUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), 3, 2, 1000, float64(rapid.IntRange(500, 5000).Draw(t, "burst")), 10*time.Second)
		f.lost = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "lost")
		f.slow = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "slow")
		scale := rapid.SampledFrom([]float64{0.01, 0.1, 0.3}).Draw(t, "cost")
		f.cost = func(g *rand.Rand) float64 { return f.burst * scale * g.Float64() }
		f.run(2 * time.Second)
		for range rapid.IntRange(5, 25).Draw(t, "steps") {
			f.fault(rapid.SampledFrom(faults).Draw(t, "fault"), rapid.IntRange(0, len(f.procs)-1).Draw(t, "place"))
			f.run(time.Duration(rapid.SampledFrom([]int{5, 20, 100, 300, 2000, 4000}).Draw(t, "ms")) * time.Millisecond)
		}
		if f.most > f.burst+1e-6 {
			t.Fatalf("%.3f tokens spendable at once, burst %.0f", f.most, f.burst)
		}
		if level, at := f.worst(); level < -1e-6 {
			t.Fatalf("window invariant broken by %.3f tokens at %v", -level, at)
		}
	})
}

var faults = []string{
	"idle", "flood", "skew", "large", "kill", "freeze", "thaw", "restart", "herd", "cut links", "cut log",
	"log down", "heal", "split", "less", "as before",
}

// fault applies one fault at one place.
func (f *fleet) fault(kind string, place int) {
	p := f.procs[place]
	switch kind {
	case "idle", "flood", "skew":
		for i := range f.demand {
			f.demand[i] = map[string]float64{"idle": 0, "flood": 1, "skew": 0}[kind]
		}
		if kind == "skew" {
			f.demand[place] = 0.5
		}
	case "large": // gathers tokens from everywhere and often gives up
		if !p.dead && !p.frozen {
			f.request(p, f.burst)
		}
	case "less":
		f.configure(0.4)
	case "as before":
		f.configure(1)
	case "split":
		f.moveTo(p)
	case "kill":
		p.dead = true
	case "freeze", "thaw":
		p.frozen = kind == "freeze"
	case "restart":
		f.start(place)
	case "herd":
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

// moveTo splits the rate anew, most of it to one domain.
func (f *fleet) moveTo(p *process) {
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

// configure changes the rate and burst; the instances follow one by one.
func (f *fleet) configure(part float64) {
	f.part = part
	for _, p := range f.procs {
		f.schedule(f.delay(), p, func() {
			p.limiter.SetAccount(f.clock(p), "acct", part*f.rate, part*f.burst)
		})
	}
}
