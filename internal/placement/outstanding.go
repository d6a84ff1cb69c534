package placement

import (
	"math/rand/v2"
	"time"
)

// ServiceTarget is a target of a service pool, which has no prefix cache.
type ServiceTarget struct {
	Name   string
	Domain string
	// Outstanding is the number of this instance's requests in flight there.
	Outstanding int
	// Usable is false while the target is draining or its breaker is open.
	Usable bool
}

// LeastOutstanding returns the index of the usable target with the fewest
// outstanding requests of this instance. Ties are resolved in favour of the given
// domain, then at random. The target named exclude is skipped. It returns false if
// no target is usable or all have limit requests outstanding.
func LeastOutstanding(targets []ServiceTarget, domain, exclude string, limit int, rng *rand.Rand) (int, bool) {
	best, ties := -1, 0
	for i, t := range targets {
		if !t.Usable || t.Name == exclude || t.Outstanding >= limit {
			continue
		}
		order := -1
		if best >= 0 {
			order = compareService(t, targets[best], domain)
		}
		switch {
		case order < 0:
			best, ties = i, 1
		case order == 0:
			ties++
			if rng.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best, best >= 0
}

// compareService returns a negative number if a is the better choice.
func compareService(a, b ServiceTarget, domain string) int {
	if a.Outstanding != b.Outstanding {
		return a.Outstanding - b.Outstanding
	}
	return domainDistance(a, domain) - domainDistance(b, domain)
}

func domainDistance(t ServiceTarget, domain string) int {
	if t.Domain == domain {
		return 0
	}
	return 1
}

// SlowStartFactor returns the fraction of its full rate that a target may receive
// some time after it restarted with an empty cache. It rises linearly from
// slowStartInitialFactor to 1 over slowStartDuration.
func SlowStartFactor(sinceReturn time.Duration) float64 {
	if sinceReturn >= slowStartDuration {
		return 1
	}
	return slowStartInitialFactor + (1-slowStartInitialFactor)*float64(sinceReturn)/float64(slowStartDuration)
}

const (
	slowStartInitialFactor = 0.25
	slowStartDuration      = 5 * time.Second
)
