package placement

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/cacheindex"
)

// Guards against a stream that goes on at another software version, also if no target of its own
// is among the first of the prompt's order, or takes requests.
func TestPickKeepsToTheSoftwareVersion(t *testing.T) {
	is := is.New(t)
	targets := make([]Target, 40)
	for i := range targets {
		targets[i] = Target{Name: string(rune('A' + i)), Software: "v1", Canary: i%2 == 0}
	}
	targets[7].Software, targets[8].Software = "v2", "v2"
	pool := NewPool(targets, "", DefaultFilters())
	picker := NewPicker(pool, cacheindex.New(1<<20), DefaultOptions())
	rng := rand.New(rand.NewPCG(1, 1))
	seen := map[int]bool{}
	for range 200 {
		d, err := picker.Pick(0, &Request{PromptTokens: 100, Software: SoftwareRequirement{Required: true, Version: "v2"}}, rng)
		is.NoErr(err)
		seen[d.Index] = true
	}
	is.Equal(seen, map[int]bool{7: true, 8: true}) // one of them is a canary
	is.True(pool.HasEligible(SoftwareRequirement{Required: true, Version: "v2"}, targets[7].Name))
	pool.Target(8).BreakerOpen = true
	pool.ApplyFilters(8)
	is.True(!pool.HasEligible(SoftwareRequirement{Required: true, Version: "v2"}, targets[7].Name))
	pool.Target(7).Draining = true
	pool.ApplyFilters(7)
	_, err := picker.Pick(0, &Request{PromptTokens: 100, Software: SoftwareRequirement{Required: true, Version: "v2"}}, rng)
	is.Equal(err, ErrNoTarget)
	_, err = picker.Pick(0, &Request{PromptTokens: 100, Software: SoftwareRequirement{Required: true}}, rng)
	is.Equal(err, ErrNoTarget) // no target states no version
	_, err = picker.Pick(0, &Request{PromptTokens: 100}, rng)
	is.NoErr(err)
}
