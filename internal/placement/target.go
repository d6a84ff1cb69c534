package placement

import (
	"time"

	"github.com/mastictray/mastictray/internal/cacheindex"
)

// Target is what this instance knows of one target of a pool.
type Target struct {
	Name        string
	Domain      string
	Incarnation string
	// Version is the weights version that the target last said it serves.
	Version string
	// Cache is the handle on the pieces the target is known to hold.
	Cache cacheindex.Ref
	// PrefillTokensPerSecond is the target's prefill rate.
	PrefillTokensPerSecond float64
	// Load is the last load report, corrected by this instance's own work.
	Load Load
	// SlowStartFactor is the part of its prefill rate that a target back from a
	// crash is trusted with, over 0 up to 1. Zero counts as 1.
	SlowStartFactor float64

	// Limit is how many requests the target may have in flight from this
	// instance, InFlight how many it has; a Limit of 0 allows any number.
	Limit, InFlight int

	// MemoryTokens is the tokens that running requests and cached pieces
	// share on the target; 0 when it is not known. HeldTokens is what this
	// instance's running requests hold of it, PeersHeldTokens what those of
	// other instances do.
	MemoryTokens                int
	HeldTokens, PeersHeldTokens int

	// Outdated targets serve older weights than the newest that were named.
	Outdated bool
	// Loading targets take no requests until they have new weights.
	Loading bool
	// RateLimited targets state a rate. Those that are OverRate may get no request of
	// this instance now; the others may get one until their rate is looked at again.
	RateLimited, OverRate bool

	Draining    bool
	BreakerOpen bool
	// Quarantined targets run requests that are suspected of crashing them.
	Quarantined bool
	// Unreachable is set while the link to the target's domain is down.
	Unreachable bool

	rejectedBy Rejection
}

// memoryShare is the part of a target's memory that running requests may hold.
// When it runs out, the target preempts a running stream, whose caller then
// sees a pause of a whole prefill; the rest is left for the error in what
// requests will need and for peers' sends that are not known yet.
const memoryShare = 0.8

// Full reports that the target takes no further request until it has answered
// one. Requests for it wait.
func (t *Target) Full() bool {
	if t.Limit > 0 && t.InFlight >= t.Limit {
		return true
	}
	held := t.HeldTokens + t.PeersHeldTokens
	return t.MemoryTokens > 0 && float64(held) >= memoryShare*float64(t.MemoryTokens)
}

// rate is the prefill rate that can be counted on, in tokens a second.
func (t *Target) rate() float64 {
	r := t.PrefillTokensPerSecond
	if r <= 0 {
		r = defaultPrefillRate
	}
	if t.SlowStartFactor > 0 && t.SlowStartFactor < 1 {
		r *= t.SlowStartFactor
	}
	return r
}

// defaultPrefillRate stands in for a pool without a configured rate.
const defaultPrefillRate = 8000

// seconds turns a count of tokens at a rate into a duration.
func seconds(tokens, rate float64) time.Duration {
	return time.Duration(tokens / rate * float64(time.Second))
}
