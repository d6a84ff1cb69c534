package weights

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// maxLoading returns the greatest number of serving targets that a planner may
// have loading at the same time.
func (sim *simulation) maxLoading() int {
	divisor := sim.planner.settings.ParallelDivisor
	return 1 + (len(sim.targets)+divisor-1)/divisor
}

// setVersion makes operators name a version now, which targets must serve
// within the bound.
func (sim *simulation) setVersion(version int64, bound time.Duration) {
	sim.deadlines = append(sim.deadlines, Deadline{Version: version, At: sim.now + bound})
}

// expireDeadlines excludes the targets whose deadlines have passed.
func (sim *simulation) expireDeadlines() {
	sim.deadlines = slices.DeleteFunc(sim.deadlines, func(d Deadline) bool {
		if d.At <= sim.now {
			sim.oldestServing = max(sim.oldestServing, d.Version)
		}
		return d.At <= sim.now
	})
}

func (sim *simulation) countBehind(version int64) int {
	n := 0
	for _, t := range sim.targets {
		if t.version < version {
			n++
		}
	}
	return n
}

// Guards against targets that still have old weights after the bound although
// there was time to load all of them.
func TestFeasibleDeadlineIsMet(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sim := newSimulation(rapid.IntRange(12, 200).Draw(rt, "targets"))
		sim.loadTime = time.Duration(rapid.IntRange(2, 20).Draw(rt, "load")) * testTick
		sim.sourceCapacity = rapid.IntRange(max(1, len(sim.targets)/5), len(sim.targets)).Draw(rt, "source")
		// A round is the announcement, the load at the rate at which the source
		// serves that many, and the poll that shows its end.
		round := sim.planner.settings.LeadTime + sim.planner.settings.PollInterval + 2*testTick +
			sim.loadTime*time.Duration(max(1, (sim.maxLoading()+sim.sourceCapacity-1)/sim.sourceCapacity))
		rounds := (len(sim.targets) + sim.maxLoading() - 1) / sim.maxLoading()
		bound := time.Duration(rounds+1)*round + time.Duration(rapid.IntRange(0, 50).Draw(rt, "spare"))*testTick
		sim.setVersion(2, bound)
		for sim.now < bound {
			sim.step(2)
		}
		if n := sim.countBehind(2); n > 0 {
			rt.Fatalf("%d of %d targets still have old weights after the bound of %v, in rounds of %v", n, len(sim.targets), bound, round)
		}
	})
}

// Guards against a rollout that takes more targets away from callers than it
// needs, with versions named in quick succession, restarts, and changes of the
// lease holder.
func TestServingTargetsAreNotTakenNeedlessly(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sim := newSimulation(rapid.IntRange(12, 100).Draw(rt, "targets"))
		sim.loadTime = time.Duration(rapid.IntRange(2, 15).Draw(rt, "load")) * testTick
		sim.sourceCapacity = max(1, len(sim.targets)/rapid.IntRange(1, 6).Draw(rt, "share"))
		bound := time.Duration(rapid.IntRange(60, 150).Draw(rt, "bound")) * testTick
		version := int64(1)
		for range rapid.IntRange(1, 4).Draw(rt, "versions") {
			version++
			sim.setVersion(version, bound)
			for range rapid.IntRange(1, 80).Draw(rt, "steps") {
				sim.expireDeadlines()
				sim.disturb(rt)
				loadingBefore, known := sim.planner.LoadingTargets(), sim.knownVersions()
				sim.step(version)
				sim.checkChosen(rt, loadingBefore, known)
			}
		}
		if !sim.stepUntilServed(version, time.Minute) {
			rt.Fatalf("not all targets serve version %d", version)
		}
	})
}

// disturb occasionally restarts a target or gives the lease to another holder.
func (sim *simulation) disturb(rt *rapid.T) {
	switch rapid.IntRange(0, 60).Draw(rt, "trouble") {
	case 0:
		x := sim.targets[rapid.IntRange(0, len(sim.targets)-1).Draw(rt, "target")]
		x.registration.StartedMs++
		x.loading, x.accepted = 0, 0
	case 1:
		// When another instance gets the lease, the registrations are up to
		// date.
		for _, x := range sim.targets {
			x.registration.Versions = map[string]int64{"m": x.version}
		}
		sim.planner = New(DefaultSettings())
	}
}

// knownVersions returns the version of each target as the planner knows it.
func (sim *simulation) knownVersions() map[string]int64 {
	out := map[string]int64{}
	for _, x := range sim.targets {
		out[x.registration.ID], _ = sim.planner.servedVersion(&x.registration, "m")
	}
	return out
}

// checkChosen checks the targets that were chosen in the last step against what
// was known before.
func (sim *simulation) checkChosen(rt *rapid.T, loadingBefore []string, known map[string]int64) {
	loading := sim.planner.LoadingTargets()
	chosen, serving := 0, 0
	for _, id := range loading {
		if known[id] < sim.oldestServing {
			continue
		}
		serving++
		if slices.Contains(loadingBefore, id) {
			continue
		}
		chosen++
		version := known[id]
		for _, other := range sim.targets {
			if v := known[other.registration.ID]; v < version && v >= sim.oldestServing && !slices.Contains(loading, other.registration.ID) && !sim.inRetryPause(other) {
				rt.Fatalf("%s with version %d was chosen before %s with %d", id, version, other.registration.ID, v)
			}
		}
	}
	if chosen > 0 && serving > sim.maxLoading() {
		rt.Fatalf("%d of %d serving targets are taken from callers", serving, len(sim.targets))
	}
}

// inRetryPause reports whether the planner waits before it queries a target
// again.
func (sim *simulation) inRetryPause(x *target) bool {
	return sim.planner.progressOf(&x.registration).nextQueryAt > sim.now
}
