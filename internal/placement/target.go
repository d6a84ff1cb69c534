package placement

import (
	"time"

	"github.com/mastictray/mastictray/internal/cacheindex"
)

// Target is the state of one target of a pool, as known to this instance.
type Target struct {
	Name        string
	Domain      string
	Incarnation string
	// Version is the weights version that the target last reported.
	Version string
	// Software is the version of the target's software; empty if it states none.
	Software string
	// Cache refers to the target's entries in the cache index.
	Cache cacheindex.Ref
	// PrefillTokensPerSecond is the target's prefill rate; see Pool.SetPrefillRate.
	PrefillTokensPerSecond float64
	// Load estimates the work queued at the target.
	Load Load
	// SlowStartFactor, above 0 and up to 1, scales the prefill rate of a target that
	// has restarted after a crash. 0 means 1.
	SlowStartFactor float64

	// Limit is the maximum number of requests of this instance in flight at the
	// target, InFlight the current number; a Limit of 0 means no limit.
	Limit, InFlight int
	// SharedSlots is the number of requests that the target runs at the same time, if requests
	// of all instances may wait for them; 0 if it is far above what they send. PeersInFlight is
	// the number of the other instances' requests, as last reported.
	SharedSlots, PeersInFlight int

	// MemoryTokens is the capacity in tokens that running requests and cached pieces
	// share on the target; 0 if unknown. HeldTokens is the part held by running
	// requests of this instance, PeersHeldTokens by those of other instances.
	MemoryTokens                int
	HeldTokens, PeersHeldTokens int
	// Memory is set if the target fails when its memory is exceeded. It replaces the limit by
	// maxMemoryUtilization.
	Memory *MemoryShare

	// Outdated targets serve older weights than the newest named version.
	Outdated bool
	// Loading targets refuse requests until they have loaded new weights.
	Loading bool
	// RateLimited targets advertise a request rate. While OverRate is set, this
	// instance must not send a request; otherwise it may send one, which sets
	// OverRate until the rate is next checked.
	RateLimited, OverRate bool

	// Canary targets run a new version of their software and get only requests that are meant
	// for it.
	Canary bool

	Draining bool
	// Leaving targets have announced themselves that they leave.
	Leaving     bool
	BreakerOpen bool
	// Paused targets have asked for a pause that has not ended.
	Paused bool
	// Slow targets answer far later than they usually do.
	Slow bool
	// Quarantined targets run requests that are suspected of crashing targets.
	Quarantined bool
	// Unreachable is set while the target's domain cannot be reached.
	Unreachable bool

	rejectedBy Rejection
}

// maxMemoryUtilization is the fraction of a target's memory that running requests may
// hold. A target that runs out of memory preempts a running stream, which then pauses
// for the time of a whole prefill. The remainder covers errors in the estimated size
// of requests and requests of other instances that are not known yet.
const maxMemoryUtilization = 0.8

// Full reports whether the target can't take the request until another one has been answered.
// Requests for it wait.
func (t *Target) Full(now time.Duration, r *Request) bool {
	if t.Limit > 0 && t.InFlight >= t.Limit {
		return true
	}
	held := t.HeldTokens + t.PeersHeldTokens
	switch {
	case t.MemoryTokens == 0:
		return false
	case t.Memory != nil:
		return !t.Memory.Admit(now, t.MemoryTokens, held, r.HeldTokens)
	}
	return float64(held) >= maxMemoryUtilization*float64(t.MemoryTokens)
}

// prefillRate returns the usable prefill rate in tokens per second.
func (t *Target) prefillRate() float64 {
	r := t.nominalRate()
	if t.SlowStartFactor > 0 && t.SlowStartFactor < 1 {
		r *= t.SlowStartFactor
	}
	return r
}

// nominalRate returns the prefill rate without slow start.
func (t *Target) nominalRate() float64 {
	if t.PrefillTokensPerSecond <= 0 {
		return defaultPrefillRate
	}
	return t.PrefillTokensPerSecond
}

// defaultPrefillRate is the rate in tokens per second of a pool without a configured
// one.
const defaultPrefillRate = 8000

// processingTime returns the time to process tokens at a rate in tokens per second.
func processingTime(tokens, rate float64) time.Duration {
	return time.Duration(tokens / rate * float64(time.Second))
}
