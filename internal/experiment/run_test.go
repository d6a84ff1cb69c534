package experiment

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func short(c Case) Case {
	c.Length, c.Warmup = 20*time.Second, 5*time.Second
	return c
}

func TestRunIsRepeatable(t *testing.T) {
	is := is.New(t)
	policies := Policies(DefaultTuning())
	is.Equal(Run(Cantonal(), short(steady()), policies, 1), Run(Cantonal(), short(steady()), policies, 1))
}

// Engines crash, one after another, under load. Every request is answered,
// refused, late or lost; one that vanished would flatter the policy.
func TestEveryRequestIsCounted(t *testing.T) {
	is := is.New(t)
	c := short(steady())
	c.CrashEvery, c.Away, c.Restart = 5*time.Second, 2*time.Second, true
	w := Charter()
	want := 0
	for _, call := range makeTrace(&w, &c, 1) {
		if call.at >= c.Warmup {
			want++
		}
	}
	for _, r := range Run(w, c, Policies(DefaultTuning()), 1) {
		is.Equal(r.Requests, want)
	}
}
