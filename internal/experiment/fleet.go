package experiment

import (
	"math/rand/v2"
	"time"

	"github.com/mastictray/mastictray/internal/cacheindex"
	"github.com/mastictray/mastictray/internal/prefix"
)

// fleet is the engines and routers of one run.
type fleet struct {
	w       *Workload
	c       *Case
	clock   *clock
	rng     *rand.Rand
	engines []*engine
	routers []*router
	measure *measure
	wanted  string
	cut     bool
	names   []string
}

// linked reports whether two failure domains reach each other.
func (f *fleet) linked(a, b string) bool {
	first := f.w.Domains[0]
	return a == b || !f.cut || (a != first && b != first)
}

func (f *fleet) delay(a, b string) time.Duration {
	if a == b {
		return 0
	}
	return f.w.LinkDelay
}

// bestElsewhere is the most leading pieces that another live engine of the
// wanted version holds.
func (f *fleet) bestElsewhere(not *engine, chain []prefix.Hash) int {
	best := 0
	for _, e := range f.engines {
		if e != not && e.up && e.version == f.wanted {
			best = max(best, e.cache.lead(chain))
		}
	}
	return best
}

// cacheChange is what one prefill changed in an engine's cache.
type cacheChange struct {
	at              time.Duration
	id              cacheindex.Identity
	stored, evicted []prefix.Hash
}

// historyLimit bounds the cache events that an engine retains.
const historyLimit = 512

// publish sends a cache event to all routers and retains it.
func (f *fleet) publish(e *engine, change cacheChange) {
	if len(change.stored)+len(change.evicted) == 0 {
		return
	}
	e.history = append(e.history, change)
	if len(e.history) > historyLimit {
		e.history = e.history[1:]
	}
	for _, r := range f.routers {
		f.deliver(r, change, eventDelay)
	}
}

// deliver sends a cache event to one router, late, and loses some.
func (f *fleet) deliver(r *router, change cacheChange, delay time.Duration) {
	if f.rng.Float64() < f.c.EventLoss {
		return
	}
	f.clock.after(delay, func() { r.policy.cacheEvent(change.id, change.stored, change.evicted) })
}

// replay answers a restarted router that asks for the events that engines
// retain: it gets at once what was published before.
func (f *fleet) replay(r *router) {
	for _, e := range f.engines {
		for _, change := range e.history {
			if change.at+eventDelay <= f.clock.now {
				f.deliver(r, change, 2*f.w.LinkDelay)
			}
		}
	}
}

// schedule sets up the faults of the case.
func (f *fleet) schedule() {
	c := f.c
	if c.CrashEvery > 0 {
		n := 0
		f.clock.every(c.CrashEvery, func() {
			e := f.engines[n*5%len(f.engines)]
			n++
			e.stop()
			f.clock.after(c.Away, e.start)
		})
	}
	if c.CutAt > 0 {
		f.clock.after(c.CutAt, func() { f.cut = true })
		f.clock.after(c.CutAt+c.CutFor, func() { f.cut = false })
	}
	if c.RollAt > 0 {
		f.clock.after(c.RollAt, func() { f.roll(0) })
	}
	if c.Restart {
		f.clock.every(restartPeriod, func() {
			for _, r := range f.routers {
				r.policy.restart()
				if f.c.Replay {
					f.replay(r)
				}
			}
		})
	}
}

// roll loads the new version on MaxLoads engines at a time. The wanted version
// changes when half of the engines serve the new one.
func (f *fleet) roll(from int) {
	to := min(from+f.w.MaxLoads, len(f.engines))
	if to > len(f.engines)/2 && f.wanted == "v1" {
		f.wanted = "v2"
	}
	if from == to {
		return
	}
	for _, e := range f.engines[from:to] {
		e.stop()
	}
	f.clock.after(f.w.LoadTime, func() {
		for _, e := range f.engines[from:to] {
			e.version = "v2"
			e.start()
		}
		f.roll(to)
	})
}
