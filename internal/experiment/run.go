package experiment

import (
	"math/rand/v2"
	"time"

	"github.com/mastictray/mastictray/internal/dispatch"
	"github.com/mastictray/mastictray/internal/placement"
)

// drain is the time after the last arrival in which answers are awaited.
const drain = 30 * time.Second

// Policy is one way of routing that is compared.
type Policy struct {
	Name string
	make func(*router) policy
}

// Tuning is what can be varied from the command line.
type Tuning struct {
	Placement placement.Options
	Dispatch  dispatch.Options
	// OwnDomain places requests in the router's failure domain only.
	OwnDomain bool
}

// DefaultTuning is the product's.
func DefaultTuning() Tuning {
	return Tuning{Placement: placement.DefaultOptions(), Dispatch: dispatch.DefaultOptions()}
}

// Policies are the baselines, the oracle and the product.
func Policies(t Tuning) []Policy {
	own := t
	own.OwnDomain = true
	return []Policy{
		{"round robin", newBaseline(roundRobin)},
		{"least outstanding", newBaseline(leastOutstanding)},
		{"prefix hash, bounded load", newBaseline(prefixHashBounded)},
		{"oracle", newBaseline(oracle)},
		{"mastictray", newProduct(t)},
		{"mastictray, own domain", newProduct(own)},
	}
}

// Run compares the policies on the same traces, one for each seed from 1 on.
func Run(w Workload, c Case, policies []Policy, seeds int) []Result {
	totals := make([]*measure, len(policies))
	for seed := uint64(1); seed <= uint64(seeds); seed++ {
		calls := makeTrace(&w, &c, seed)
		for i, p := range policies {
			m := runOne(&w, &c, p, calls, seed)
			if totals[i] == nil {
				totals[i] = m
				continue
			}
			totals[i].add(m)
		}
	}
	var out []Result
	for i, p := range policies {
		out = append(out, totals[i].result(p.Name))
	}
	return out
}

func runOne(w *Workload, c *Case, p Policy, calls []*call, seed uint64) *measure {
	f := &fleet{w: w, c: c, clock: &clock{}, rng: rand.New(rand.NewPCG(seed, 2)), measure: newMeasure(w, c), wanted: "v1"}
	for i := range w.Engines {
		e := newEngine(f, i)
		f.engines = append(f.engines, e)
		f.names = append(f.names, e.name)
	}
	for i := range w.Routers {
		f.routers = append(f.routers, newRouter(f, i, seed, p.make))
	}
	f.schedule()
	limits := newAdmission(f, calls)
	for _, call := range calls {
		f.clock.after(call.at, func() {
			if !limits.allows(call) {
				f.measure.refused(call)
				return
			}
			f.routers[call.router].policy.arrive(&attempt{call: call, last: -1})
		})
	}
	f.clock.runUntil(c.Length)
	busy := time.Duration(0)
	for _, e := range f.engines {
		busy += e.busy
	}
	f.measure.busy = busy.Seconds() / c.Length.Seconds() / float64(len(f.engines))
	f.clock.runUntil(c.Length + drain)
	return f.measure
}

// Selection is what RunAll runs; empty names select everything.
type Selection struct {
	Workload, Case, Policy string
	Seeds                  int
	Tuning                 Tuning
}

// RunAll compares the policies under the selected workloads and cases.
func RunAll(s Selection) []Result {
	var out []Result
	for _, w := range []Workload{Cantonal(), Charter()} {
		for _, c := range Cases() {
			if (s.Workload == "" || s.Workload == w.Name) && (s.Case == "" || s.Case == c.Name) {
				out = append(out, Run(w, c, s.policies(), s.Seeds)...)
			}
		}
	}
	return out
}

func (s *Selection) policies() []Policy {
	var out []Policy
	for _, p := range Policies(s.Tuning) {
		if s.Policy == "" || s.Policy == p.Name {
			out = append(out, p)
		}
	}
	return out
}
