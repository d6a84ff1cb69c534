package experiment

import (
	"math/rand/v2"
	"time"

	"github.com/mastictray/mastictray/internal/cacheindex"
	"github.com/mastictray/mastictray/internal/prefix"
)

// simulation has the state of one run: the engines, the routers and the faults.
type simulation struct {
	workload      *Workload
	testCase      *Case
	clock         *clock
	rng           *rand.Rand
	engines       []*engine
	routers       []*router
	metrics       *metrics
	wantedVersion string
	partitioned   bool
	engineNames   []string
}

// reachable reports whether two failure domains can reach each other.
func (s *simulation) reachable(a, b string) bool {
	isolated := s.workload.Domains[0]
	return a == b || !s.partitioned || (a != isolated && b != isolated)
}

func (s *simulation) linkDelay(a, b string) time.Duration {
	if a == b {
		return 0
	}
	return s.workload.LinkDelay
}

// longestPrefixElsewhere returns the largest number of leading pieces that another
// live engine with the wanted version has cached.
func (s *simulation) longestPrefixElsewhere(excluded *engine, chain []prefix.Hash) int {
	best := 0
	for _, e := range s.engines {
		if e != excluded && e.up && e.version == s.wantedVersion {
			best = max(best, e.cache.prefixLen(chain))
		}
	}
	return best
}

// cacheChange is a cache event: the pieces that a prefill stored and evicted.
type cacheChange struct {
	publishedAt     time.Duration
	identity        cacheindex.Identity
	stored, evicted []prefix.Hash
}

// maxRetainedEvents limits the cache events that an engine retains.
const maxRetainedEvents = 512

// publish sends a cache event to all routers and retains it.
func (s *simulation) publish(e *engine, change cacheChange) {
	if len(change.stored)+len(change.evicted) == 0 {
		return
	}
	e.retainedEvents = append(e.retainedEvents, change)
	if len(e.retainedEvents) > maxRetainedEvents {
		e.retainedEvents = e.retainedEvents[1:]
	}
	for _, r := range s.routers {
		s.deliver(r, change, eventDelay)
	}
}

// deliver sends a cache event to a router after the delay. It loses the fraction of
// events that the case specifies.
func (s *simulation) deliver(r *router, change cacheChange, delay time.Duration) {
	if s.rng.Float64() < s.testCase.EventLossRate {
		return
	}
	s.clock.after(delay, func() { r.policy.handleCacheEvent(change.identity, change.stored, change.evicted) })
}

// replayEvents sends the retained events of all engines to a restarted router after
// one round trip. Events that are still in transit arrive separately.
func (s *simulation) replayEvents(r *router) {
	for _, e := range s.engines {
		for _, change := range e.retainedEvents {
			if change.publishedAt+eventDelay <= s.clock.now {
				s.deliver(r, change, 2*s.workload.LinkDelay)
			}
		}
	}
}

// scheduleFaults schedules the faults and the rollout of the case.
func (s *simulation) scheduleFaults() {
	c := s.testCase
	if c.CrashEvery > 0 {
		n := 0
		s.clock.every(c.CrashEvery, func() {
			e := s.engines[n*5%len(s.engines)]
			n++
			e.stop()
			s.clock.after(c.Downtime, e.start)
		})
	}
	if c.PartitionAt > 0 {
		s.clock.after(c.PartitionAt, func() { s.partitioned = true })
		s.clock.after(c.PartitionAt+c.PartitionDuration, func() { s.partitioned = false })
	}
	if c.RolloutAt > 0 {
		s.clock.after(c.RolloutAt, func() { s.rollOut(0) })
	}
	if c.RestartRouters {
		s.clock.every(restartInterval, func() {
			for _, r := range s.routers {
				r.policy.restart()
				if s.testCase.ReplayEvents {
					s.replayEvents(r)
				}
			}
		})
	}
}

// rollOut loads the new weights version on MaxConcurrentLoads engines at a time,
// starting with the engine at index from. The wanted version changes before the
// batch that takes the number of updated engines above half.
func (s *simulation) rollOut(from int) {
	to := min(from+s.workload.MaxConcurrentLoads, len(s.engines))
	if to > len(s.engines)/2 && s.wantedVersion == "v1" {
		s.wantedVersion = "v2"
	}
	if from == to {
		return
	}
	for _, e := range s.engines[from:to] {
		e.stop()
	}
	s.clock.after(s.workload.WeightsLoadTime, func() {
		for _, e := range s.engines[from:to] {
			e.version = "v2"
			e.start()
		}
		s.rollOut(to)
	})
}
