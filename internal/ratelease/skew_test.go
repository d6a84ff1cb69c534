package ratelease

import (
	"fmt"
	"testing"
	"time"
)

// arrival is one request of the simulated demand.
type arrival struct {
	at      time.Duration
	process int
	cost    float64
}

// skewedArrivals generates Poisson arrivals at 95% of the rate, with sizes of
// 4,000 to 20,000 tokens and four in five of them at process 0. An arrival that
// a single bucket with the account's rate and burst would not admit is delayed
// until it would (shaped) or left out. Every refusal of the remaining arrivals
// is therefore wrongful.
func (f *fleet) skewedArrivals(from, span time.Duration, shaped bool) []arrival {
	var list []arrival
	const low, high, load = 4000.0, 20000.0, 0.95
	gap := (low + high) / 2 / (load * f.rate)
	level, last := f.burst, from
	for at := from; at < from+span; {
		at += time.Duration(f.rng.ExpFloat64() * gap * float64(time.Second))
		cost := low + (high-low)*f.rng.Float64()
		proc := 0
		if f.rng.Float64() >= 0.8 {
			proc = 1 + f.rng.IntN(len(f.procs)-1)
		}
		sent := max(at, last)
		fill := min(f.burst, level+f.rate*(sent-last).Seconds())
		if fill < cost {
			if !shaped {
				continue
			}
			sent += time.Duration((cost - fill) / f.rate * float64(time.Second))
			fill = cost
		}
		level, last = fill-cost, sent
		list = append(list, arrival{at: sent, process: proc, cost: cost})
	}
	return list
}

// offerArrivals runs the fleet through the arrivals.
func (f *fleet) offerArrivals(list []arrival) {
	f.offered, f.refused = 0, 0
	for i := 0; i < len(list); {
		for ; i < len(list) && list[i].at <= f.now; i++ {
			p := f.procs[list[i].process]
			f.request(p, list[i].cost)
			f.tick(p)
		}
		f.run(f.stepLen)
		if f.now%(30*time.Second) == 0 {
			f.planSplit(f.procs[0])
		}
	}
	f.run(time.Second)
}

// skewCases are the link and log failures to measure the skewed demand with.
var skewCases = []struct {
	name string
	fail func(*fleet)
}{
	{"links up", func(*fleet) {}},
	{"log down", func(f *fleet) { f.logDown = true }},
	{"own domain cut from links", func(f *fleet) { f.linkCut["d0"] = true }},
	{"other domain cut from links", func(f *fleet) { f.linkCut["d1"] = true }},
	{"own domain cut from log", func(f *fleet) { f.logCut["d0"] = true }},
}

func measureSkew(span time.Duration, shaped bool, fail func(*fleet)) *fleet {
	f := newFleet(7, 3, 2, 60000, 60000, 6*time.Hour)
	f.useAllTokens, f.stepLen = true, time.Millisecond
	f.run(10 * time.Second)
	f.offerArrivals(f.skewedArrivals(f.now, 10*time.Minute, shaped)) // lets the split follow the demand
	fail(f)
	f.messages = 0
	f.offerArrivals(f.skewedArrivals(f.now, span, shaped))
	return f
}

// BenchmarkWrongfulRefusals reports the percentage of wrongful refusals. Run it
// with -benchtime 1x; the run is deterministic.
func BenchmarkWrongfulRefusals(b *testing.B) {
	for _, c := range skewCases {
		for _, shaped := range []bool{false, true} {
			b.Run(fmt.Sprintf("%s/shaped=%v", c.name, shaped), func(b *testing.B) {
				for b.Loop() {
					f := measureSkew(time.Hour, shaped, c.fail)
					b.ReportMetric(100*float64(f.refused)/float64(f.offered), "%refused")
					b.ReportMetric(float64(f.offered), "requests")
					b.ReportMetric(float64(f.messages)/float64(f.offered), "messages/request")
				}
			})
		}
	}
}
