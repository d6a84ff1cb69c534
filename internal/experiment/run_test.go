package experiment

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func shorten(c Case) Case {
	c.Duration, c.Warmup = 20*time.Second, 5*time.Second
	return c
}

func TestRunIsDeterministic(t *testing.T) {
	is := is.New(t)
	policies := Policies(DefaultTuning())
	is.Equal(Run(Cantonal(), shorten(steadyCase()), policies, 1), Run(Cantonal(), shorten(steadyCase()), policies, 1))
}

// Engines crash one after another under load. Every request must be counted as
// answered, refused, late or lost: a request that is not counted would improve the
// results of the policy.
func TestAllRequestsAreCounted(t *testing.T) {
	is := is.New(t)
	c := shorten(steadyCase())
	c.CrashEvery, c.Downtime, c.RestartRouters = 5*time.Second, 2*time.Second, true
	w := Charter()
	want := 0
	for _, req := range generateTrace(&w, &c, 1) {
		if req.arrival >= c.Warmup {
			want++
		}
	}
	for _, r := range Run(w, c, Policies(DefaultTuning()), 1) {
		is.Equal(r.Requests, want)
	}
}
