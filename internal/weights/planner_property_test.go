package weights

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// mostAtOnce is the number of targets that a planner takes from callers at once.
func (w *world) mostAtOnce() int {
	divisor := w.planner.settings.ParallelDivisor
	return 1 + (len(w.targets)+divisor-1)/divisor
}

// name makes operators name a version now, which targets must serve within the
// bound.
func (w *world) name(version int64, bound time.Duration) {
	w.deadlines = append(w.deadlines, Deadline{Version: version, At: w.now + bound})
}

// expire excludes the targets whose deadlines are over.
func (w *world) expire() {
	w.deadlines = slices.DeleteFunc(w.deadlines, func(d Deadline) bool {
		if d.At <= w.now {
			w.oldest = max(w.oldest, d.Version)
		}
		return d.At <= w.now
	})
}

func (w *world) behind(version int64) int {
	n := 0
	for _, t := range w.targets {
		if t.version < version {
			n++
		}
	}
	return n
}

// Guards against targets that serve past the bound on old weights though there
// was the time to load them all.
func TestVersionArrivesInTimeWhereThatCanBe(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rapid.IntRange(12, 200).Draw(rt, "targets"))
		w.loadTime = time.Duration(rapid.IntRange(2, 20).Draw(rt, "load")) * testTick
		w.source = rapid.IntRange(max(1, len(w.targets)/5), len(w.targets)).Draw(rt, "source")
		// A round is the announcement, the load at the rate that the source has for
		// as many, and the poll that shows its end.
		round := w.planner.settings.LeadTime + w.planner.settings.PollInterval + 2*testTick +
			w.loadTime*time.Duration(max(1, (w.mostAtOnce()+w.source-1)/w.source))
		rounds := (len(w.targets) + w.mostAtOnce() - 1) / w.mostAtOnce()
		bound := time.Duration(rounds+1)*round + time.Duration(rapid.IntRange(0, 50).Draw(rt, "spare"))*testTick
		w.name(2, bound)
		for w.now < bound {
			w.step(2)
		}
		if n := w.behind(2); n > 0 {
			rt.Fatalf("%d of %d targets are late by a bound of %v, rounds of %v", n, len(w.targets), bound, round)
		}
	})
}

// Guards against a rollout that takes more targets from callers than it needs,
// over versions named one upon the other, restarts, and changes of the holder.
func TestTargetsThatServeAreKept(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rapid.IntRange(12, 100).Draw(rt, "targets"))
		w.loadTime = time.Duration(rapid.IntRange(2, 15).Draw(rt, "load")) * testTick
		w.source = max(1, len(w.targets)/rapid.IntRange(1, 6).Draw(rt, "share"))
		bound := time.Duration(rapid.IntRange(60, 150).Draw(rt, "bound")) * testTick
		version := int64(1)
		for range rapid.IntRange(1, 4).Draw(rt, "versions") {
			version++
			w.name(version, bound)
			for range rapid.IntRange(1, 80).Draw(rt, "steps") {
				w.expire()
				w.disturb(rt)
				was, known := w.planner.LoadingTargets(), w.known()
				w.step(version)
				w.checkChosen(rt, was, known)
			}
		}
		if !w.until(version, time.Minute) {
			rt.Fatalf("not all targets serve version %d", version)
		}
	})
}

// disturb restarts a target, or gives the lease to another holder, now and then.
func (w *world) disturb(rt *rapid.T) {
	switch rapid.IntRange(0, 60).Draw(rt, "trouble") {
	case 0:
		x := w.targets[rapid.IntRange(0, len(w.targets)-1).Draw(rt, "target")]
		x.reg.Born++
		x.loading, x.accepted = 0, 0
	case 1:
		// By the time that another one has the lease, registrations are up to date.
		for _, x := range w.targets {
			x.reg.Versions = map[string]int64{"m": x.version}
		}
		w.planner = New(DefaultSettings())
	}
}

// known is the version of each target as the planner knows it.
func (w *world) known() map[string]int64 {
	out := map[string]int64{}
	for _, x := range w.targets {
		out[x.reg.ID], _ = w.planner.served(&x.reg, "m")
	}
	return out
}

// checkChosen checks the targets that were chosen in the last step, by what was
// known before.
func (w *world) checkChosen(rt *rapid.T, was []string, known map[string]int64) {
	loading := w.planner.LoadingTargets()
	chosen, serving := 0, 0
	for _, id := range loading {
		if known[id] < w.oldest {
			continue
		}
		serving++
		if slices.Contains(was, id) {
			continue
		}
		chosen++
		version := known[id]
		for _, other := range w.targets {
			if v := known[other.reg.ID]; v < version && v >= w.oldest && !slices.Contains(loading, other.reg.ID) && !w.resting(other) {
				rt.Fatalf("%s with version %d was chosen before %s with %d", id, version, other.reg.ID, v)
			}
		}
	}
	if chosen > 0 && serving > w.mostAtOnce() {
		rt.Fatalf("%d of %d targets that serve are taken from callers", serving, len(w.targets))
	}
}

// resting says that the planner waits before it begins with a target again.
func (w *world) resting(x *target) bool { return w.planner.of(&x.reg).askAt > w.now }
