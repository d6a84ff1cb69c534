package placement

import "time"

// Options configure a Picker.
type Options struct {
	// Domain is the failure domain of this instance.
	Domain string
	// CrossDomainDelay is the one-way network delay to another domain.
	CrossDomainDelay time.Duration
	// MaxCandidates is the maximum number of targets scored per request.
	MaxCandidates int
	// AffinityPieces is the number of leading pieces that determine the rendezvous
	// order. It is one more than the prefix that all prompts of a service share, so
	// that their requests spread over targets.
	AffinityPieces int
	// HomeCachedFraction is the fraction of a prompt's full pieces that the home
	// target is assumed to have cached when fewer are known to be. It keeps a prefix
	// at the target where other instances, and this one after a restart, expect
	// it. With a higher value, a new prefix waits longer for a busy home target.
	HomeCachedFraction float64
	// UnobservedHomeCachedFraction replaces HomeCachedFraction until
	// SetCacheStateKnown is called. Before the cache events of the targets are
	// followed and show what was cached earlier, rendezvous order predicts the
	// cached prefixes better than the index.
	UnobservedHomeCachedFraction float64
	// RecomputeFactor weighs a recomputed token against a token of queued work. It
	// is over 1 because prefill that a cached copy elsewhere would have saved also
	// delays the requests behind it.
	RecomputeFactor float64
	// TransferTokensPerSecond is the rate at which cached pieces are transferred to
	// a target; 0 if transfers are not available.
	TransferTokensPerSecond float64
	// TransferSetup is the fixed time per transfer.
	TransferSetup time.Duration
	// EquivalentTokens converts uncached tokens of a prompt to the number of tokens
	// of a short prompt that take the same time to prefill; nil means no conversion.
	EquivalentTokens func(prompt, uncached float64) float64
	// OutdatedPenalty is the additional time to first token that is accepted for an
	// answer from the newest weights instead of older ones.
	OutdatedPenalty time.Duration
	// SlotTime returns the mean time for which a request keeps a slot; nil if slots aren't
	// shared.
	SlotTime func() time.Duration
	// NearTie is the difference in cost below which candidates are considered equal.
	NearTie time.Duration
	// QueueSlack is the queueing time that is ignored because load information
	// about a target is out of date.
	QueueSlack time.Duration
	// UnequalQueueSlack replaces QueueSlack while targets have different capacity weights.
	// Their order then already distributes work by capacity, and only a target whose queue
	// outlasts the delay of load information is passed over.
	UnequalQueueSlack time.Duration
}

// DefaultOptions returns the default options; see docs/measurements.
func DefaultOptions() Options {
	return Options{
		CrossDomainDelay:             1500 * time.Microsecond,
		MaxCandidates:                16,
		AffinityPieces:               2,
		HomeCachedFraction:           0.25,
		UnobservedHomeCachedFraction: 0.5,
		RecomputeFactor:              2,
		NearTie:                      2 * time.Millisecond,
	}
}
