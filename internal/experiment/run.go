package experiment

import (
	"math/rand/v2"
	"time"

	"github.com/mastictray/mastictray/internal/dispatch"
	"github.com/mastictray/mastictray/internal/placement"
)

// drainTime is the simulated time after the last arrival in which requests can
// complete.
const drainTime = 30 * time.Second

// Policy is a routing policy to compare.
type Policy struct {
	Name      string
	newPolicy func(*router) policy
}

// Tuning has the options of the product's policy that the command line can change.
type Tuning struct {
	Placement placement.Options
	Dispatch  dispatch.Options
	// OwnDomain restricts placement to the router's failure domain.
	OwnDomain bool
}

// DefaultTuning returns the default options of the product.
func DefaultTuning() Tuning {
	return Tuning{Placement: placement.DefaultOptions(), Dispatch: dispatch.DefaultOptions()}
}

// Policies returns the baselines, the oracle, and the product with the given options.
func Policies(t Tuning) []Policy {
	ownDomain := t
	ownDomain.OwnDomain = true
	return []Policy{
		{"round robin", newBaseline(roundRobin)},
		{"least outstanding", newBaseline(leastOutstanding)},
		{"prefix hash, bounded load", newBaseline(prefixHashBounded)},
		{"oracle", newBaseline(oracle)},
		{"mastictray", newProductPolicy(t)},
		{"mastictray, own domain", newProductPolicy(ownDomain)},
	}
}

// Run runs the policies on the same traces, one for each seed from 1 to seeds, and
// returns one result for each policy.
func Run(w Workload, c Case, policies []Policy, seeds int) []Result {
	totals := make([]*metrics, len(policies))
	for seed := uint64(1); seed <= uint64(seeds); seed++ {
		requests := generateTrace(&w, &c, seed)
		for i, p := range policies {
			m := runPolicy(&w, &c, p, requests, seed)
			if totals[i] == nil {
				totals[i] = m
				continue
			}
			totals[i].merge(m)
		}
	}
	var out []Result
	for i, p := range policies {
		out = append(out, totals[i].result(p.Name))
	}
	return out
}

// runPolicy simulates one policy on one trace.
func runPolicy(w *Workload, c *Case, p Policy, requests []*request, seed uint64) *metrics {
	sim := &simulation{workload: w, testCase: c, clock: &clock{}, rng: rand.New(rand.NewPCG(seed, 2)), metrics: newMetrics(w, c), wantedVersion: "v1"}
	for i := range w.Engines {
		e := newEngine(sim, i)
		sim.engines = append(sim.engines, e)
		sim.engineNames = append(sim.engineNames, e.name)
	}
	for i := range w.Routers {
		sim.routers = append(sim.routers, newRouter(sim, i, seed, p.newPolicy))
	}
	sim.scheduleFaults()
	limiter := newAdmission(sim, requests)
	for _, req := range requests {
		sim.clock.after(req.arrival, func() {
			if !limiter.admit(req) {
				sim.metrics.recordRefused(req)
				return
			}
			sim.routers[req.router].policy.handleRequest(&routedRequest{request: req, lastEngine: -1})
		})
	}
	sim.clock.runUntil(c.Duration)
	busyTime := time.Duration(0)
	for _, e := range sim.engines {
		busyTime += e.busyTime
	}
	sim.metrics.busyFraction = busyTime.Seconds() / c.Duration.Seconds() / float64(len(sim.engines))
	sim.clock.runUntil(c.Duration + drainTime)
	return sim.metrics
}

// Selection selects what RunAll runs. An empty name selects everything.
type Selection struct {
	Workload, Case, Policy string
	Seeds                  int
	Tuning                 Tuning
}

// RunAll runs the selected policies in the selected workloads and cases.
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
