package rollout

import (
	"fmt"
	"time"
)

// failedShare: a version is halted when at least one in this many targets
// failed on it. In a large pool some targets crash on any day; without the
// share those would halt every long rollout.
const failedShare = 5

// start records that operators want another version. It waits until a target
// was seen, so that the version to roll back to can be told.
func (t *tick) start(old PoolState) {
	next := PoolState{Model: t.goal.Model, Version: t.goal.Version}
	if old.Model == t.goal.Model {
		next.LastGood = old.LastGood
	}
	seen, uniform := t.uniformVersion()
	if !seen {
		return
	}
	if next.LastGood == "" {
		next.LastGood = uniform
	}
	t.proposePool(next)
}

// uniformVersion is the version that all targets seen serve; empty when they
// differ.
func (t *tick) uniformVersion() (seen bool, version string) {
	for _, target := range t.goal.Targets {
		o, fresh := t.fresh(target.Name)
		if !fresh {
			continue
		}
		if seen && o.Version != version {
			return true, ""
		}
		seen, version = true, o.Version
	}
	return seen, version
}

func (t *tick) proposePool(s PoolState) {
	s.ID = OrderID{}
	t.propose(poolKey(t.goal.Pool), s, func(id OrderID) Record {
		s.ID = id
		return Record{Pool: &PoolRecord{Pool: t.goal.Pool, State: s}}
	})
}

// failing says that the version itself is at fault, as far as can be told: it
// failed on several targets, or on all there are, and not just on a few of
// many.
func (t *tick) failing() bool {
	failed, passed := t.ledger.Results(t.goal.Pool)
	enough := min(t.settings.MaxFailedTargets, len(t.goal.Targets))
	return failed > 0 && failed >= enough && failed*failedShare >= failed+passed
}

// halt stops the version before it takes more targets with it, and makes
// them go back to the last good one.
func (t *tick) halt(s PoolState) {
	failed, passed := t.ledger.Results(t.goal.Pool)
	s.Halted = true
	s.Reason = fmt.Sprintf("%d targets failed on %s, %d passed", failed, s.Version, passed)
	if s.LastGood == "" {
		s.Reason += "; no good version is known to go back to"
	}
	t.proposePool(s)
}

// conclude records that all targets serve the version, and writes the state
// anew from time to time, before the log's retention ends.
func (t *tick) conclude(s PoolState) {
	if !s.Halted && s.LastGood != s.Version && t.allServe(s.Version) {
		s.LastGood = s.Version
		t.proposePool(s)
		return
	}
	if t.restateDue(s) {
		t.proposePool(s)
	}
}

// restateDue says that the state is to be written again: at the start of a
// term, and before the log's retention can end for the newest record.
func (t *tick) restateDue(s PoolState) bool {
	last := t.restated[t.goal.Pool]
	if last.id != s.ID {
		last = statement{id: s.ID, at: t.now}
		t.restated[t.goal.Pool] = last
	}
	return s.ID.Token != t.token || t.since(last.at) >= t.settings.RestateInterval
}

func (t *tick) allServe(version string) bool {
	for _, target := range t.goal.Targets {
		o, open := t.ledger.Order(target.Name)
		if (open && o.Open) || !t.serves(target.Name, version) {
			return false
		}
	}
	return len(t.goal.Targets) > 0
}

// fresh gives the target's state if it was seen lately.
func (t *tick) fresh(target string) (Observation, bool) {
	o, seen := t.seen[target]
	return o, seen && t.now-o.At <= t.settings.MaxObservationAge
}

func (t *tick) serves(target, version string) bool {
	o, fresh := t.fresh(target)
	return fresh && o.Loading == "" && o.Version == version && o.Model == t.goal.Model
}

// since is how long ago a time was.
func (t *tick) since(at time.Duration) time.Duration { return t.now - at }
