package placement

import (
	"math/rand/v2"
	"time"
)

// ServiceTarget is a target of a service pool, which has no prefix cache.
type ServiceTarget struct {
	Name   string
	Domain string
	// Outstanding is the requests that this instance has running there.
	Outstanding int
	// Usable is false while the target drains or its breaker is open.
	Usable bool
}

// LeastOutstanding chooses the usable target with the fewest requests of this
// instance, of the own domain where that is equal, by chance where that is
// too. It skips the excluded name. False when none is usable or all hold limit
// requests.
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

// compareService is below 0 when a is the better choice.
func compareService(a, b ServiceTarget, domain string) int {
	if a.Outstanding != b.Outstanding {
		return a.Outstanding - b.Outstanding
	}
	return distance(a, domain) - distance(b, domain)
}

func distance(t ServiceTarget, domain string) int {
	if t.Domain == domain {
		return 0
	}
	return 1
}

// SlowStartFactor is the part of its full rate that a target is trusted with some
// time after it came back with empty caches: it rises in a straight line from
// slowStartFloor to 1 over slowStartTime.
func SlowStartFactor(sinceReturn time.Duration) float64 {
	if sinceReturn >= slowStartTime {
		return 1
	}
	return slowStartFloor + (1-slowStartFloor)*float64(sinceReturn)/float64(slowStartTime)
}

const (
	slowStartFloor = 0.25
	slowStartTime  = 5 * time.Second
)
