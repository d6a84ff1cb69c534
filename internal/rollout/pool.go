package rollout

import (
	"fmt"
	"time"
)

// haltFailureDivisor: a version is halted only if at least one in this many
// targets failed on it. In a large pool some targets crash on any day; without
// this condition they would halt every long rollout.
const haltFailureDivisor = 5

// recordWantedVersion proposes a record that operators want another version. It
// waits until a target was observed, so that the version to roll back to is
// known.
func (d *poolDecision) recordWantedVersion(old PoolState) {
	next := PoolState{Model: d.goal.Model, Version: d.goal.Version}
	if old.Model == d.goal.Model {
		next.LastGood = old.LastGood
	}
	observed, uniform := d.uniformVersion()
	if !observed {
		return
	}
	if next.LastGood == "" {
		next.LastGood = uniform
	}
	d.proposePool(next)
}

// uniformVersion returns the version that all recently observed targets serve;
// empty when they differ.
func (d *poolDecision) uniformVersion() (observed bool, version string) {
	for _, target := range d.goal.Targets {
		o, fresh := d.freshObservation(target.Name)
		if !fresh {
			continue
		}
		if observed && o.Version != version {
			return true, ""
		}
		observed, version = true, o.Version
	}
	return observed, version
}

func (d *poolDecision) proposePool(s PoolState) {
	s.ID = OrderID{}
	d.propose(poolKey(d.goal.Pool), s, func(id OrderID) Record {
		s.ID = id
		return Record{Pool: &PoolRecord{Pool: d.goal.Pool, State: s}}
	})
}

// versionFailing reports whether the version itself seems to be at fault: it
// failed on several targets, or on all of a small pool, and not just on a few
// of many.
func (d *poolDecision) versionFailing() bool {
	failed, passed := d.state.Results(d.goal.Pool)
	enough := min(d.settings.MaxFailedTargets, len(d.goal.Targets))
	return failed > 0 && failed >= enough && failed*haltFailureDivisor >= failed+passed
}

// haltVersion stops the rollout of a version before it crashes more targets,
// and rolls back to the last good version.
func (d *poolDecision) haltVersion(s PoolState) {
	failed, passed := d.state.Results(d.goal.Pool)
	s.Halted = true
	s.Reason = fmt.Sprintf("%d targets failed on %s, %d passed", failed, s.Version, passed)
	if s.LastGood == "" {
		s.Reason += "; no good version is known to go back to"
	}
	d.proposePool(s)
}

// recordProgress proposes a record once all targets serve the version, and
// repeats the pool's state from time to time, before the log's retention ends.
func (d *poolDecision) recordProgress(s PoolState) {
	if !s.Halted && s.LastGood != s.Version && d.allServe(s.Version) {
		s.LastGood = s.Version
		d.proposePool(s)
		return
	}
	if d.restateDue(s) {
		d.proposePool(s)
	}
}

// restateDue reports whether the state has to be written again: at the start of
// a term, and before the newest record may pass the log's retention.
func (d *poolDecision) restateDue(s PoolState) bool {
	last := d.firstSeen[d.goal.Pool]
	if last.id != s.ID {
		last = seenPoolRecord{id: s.ID, seenAt: d.now}
		d.firstSeen[d.goal.Pool] = last
	}
	return s.ID.Token != d.token || d.elapsed(last.seenAt) >= d.settings.RestateInterval
}

func (d *poolDecision) allServe(version string) bool {
	for _, target := range d.goal.Targets {
		o, known := d.state.Order(target.Name)
		if (known && o.Open) || !d.servesVersion(target.Name, version) {
			return false
		}
	}
	return len(d.goal.Targets) > 0
}

// freshObservation returns the target's state if it was observed recently.
func (d *poolDecision) freshObservation(target string) (Observation, bool) {
	o, observed := d.observations[target]
	return o, observed && d.now-o.At <= d.settings.MaxObservationAge
}

func (d *poolDecision) servesVersion(target, version string) bool {
	o, fresh := d.freshObservation(target)
	return fresh && o.Loading == "" && o.Version == version && o.Model == d.goal.Model
}

// elapsed returns the time since at.
func (d *poolDecision) elapsed(at time.Duration) time.Duration { return d.now - at }
