package crashpieces

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// reportersPerPiece is the mean number of instances that report healthy answers to a piece at a
	// time. Most instances have answers to a piece that many requests share, and one report
	// clears it everywhere.
	reportersPerPiece = 4
	// maxReports bounds the healthy answers reported at a time.
	maxReports = 32
)

// Reports is what an instance tells its peers.
type Reports struct {
	Crashes []*Crash
	Healthy []HealthyAnswer
}

// TakeReports returns the crashes seen here since the last call, and the last healthy answers to
// pieces that may be blocked for want of them.
func (t *Tracker) TakeReports(now time.Duration, fleetSize int, rng *rand.Rand) Reports {
	t.expire(now)
	r := Reports{Crashes: t.unreported}
	t.unreported = nil
	due := t.unreportedHealthy
	t.unreportedHealthy = nil
	for p, crashes := range t.unclearedCrashes() {
		if crashes >= MinCrashes-1 || crashes > 1 && rng.Float64()*float64(fleetSize) < reportersPerPiece {
			due = append(due, p)
		}
	}
	slices.Sort(due)
	for _, p := range slices.Compact(due) {
		at, ok := t.healthy.last(p)
		if ok && at > t.reportedHealthy[p] && len(r.Healthy) < maxReports {
			t.reportedHealthy[p] = at
			r.Healthy = append(r.Healthy, HealthyAnswer{Piece: p, BegunAt: at})
		}
	}
	return r
}

// unclearedCrashes returns the number of crashes of each piece of which no reported healthy answer
// has cleared it.
func (t *Tracker) unclearedCrashes() map[Piece]int {
	out := map[Piece]int{}
	for _, c := range t.crashes {
		for p := range c.Lost {
			if reported, ok := t.reportedHealthy[p]; !ok || reported <= c.At {
				out[p]++
			}
		}
	}
	return out
}
