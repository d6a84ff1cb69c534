package crashparts

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// reportersPerPart is the mean number of instances that report sound answers to a part at a
	// time. Most instances have answers to a part that many requests share, and one report
	// clears it everywhere.
	reportersPerPart = 4
	// maxReports bounds the sound answers reported at a time.
	maxReports = 32
)

// Reports is what an instance tells its peers.
type Reports struct {
	Crashes []*Crash
	Sound   []Sound
}

// TakeReports returns the crashes seen here since the last call, and the last sound answers to
// parts that may be blocked for want of them.
func (t *Tracker) TakeReports(now time.Duration, fleetSize int, rng *rand.Rand) Reports {
	t.expire(now)
	r := Reports{Crashes: t.unreported}
	t.unreported = nil
	due := t.unreportedSound
	t.unreportedSound = nil
	for p, crashes := range t.unclearedCrashes() {
		if crashes >= MinCrashes-1 || crashes > 1 && rng.Float64()*float64(fleetSize) < reportersPerPart {
			due = append(due, p)
		}
	}
	slices.Sort(due)
	for _, p := range slices.Compact(due) {
		at, ok := t.sound.last(p)
		if ok && at > t.reportedSound[p] && len(r.Sound) < maxReports {
			t.reportedSound[p] = at
			r.Sound = append(r.Sound, Sound{Part: p, BegunAt: at})
		}
	}
	return r
}

// unclearedCrashes returns the number of crashes of each part of which no reported sound answer
// has cleared it.
func (t *Tracker) unclearedCrashes() map[Part]int {
	out := map[Part]int{}
	for _, c := range t.crashes {
		for p := range c.Lost {
			if reported, ok := t.reportedSound[p]; !ok || reported <= c.At {
				out[p]++
			}
		}
	}
	return out
}
