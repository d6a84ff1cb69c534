package placement

import "time"

// Options tune a picker.
type Options struct {
	// Domain is the failure domain of this instance.
	Domain string
	// CrossDomainDelay is the one-way delay to another domain.
	CrossDomainDelay time.Duration
	// MaxCandidates bounds the targets scored for one request.
	MaxCandidates int
	// AffinityPieces is the number of leading pieces that the rendezvous key
	// covers: one more than the opening that all prompts of a service share.
	AffinityPieces int
	// HomeCachedFraction is the part of a prompt's pieces that the first target in
	// rendezvous order is counted on to hold when less is known of it. It
	// keeps prefixes where other instances, and this one after a restart,
	// look for them; the higher, the longer a new prefix waits for a busy
	// first target.
	HomeCachedFraction float64
	// UnobservedHomeCachedFraction stands in place of HomeTrust until CaughtUp: without the
	// targets' cache events, or before they tell what was cached earlier,
	// rendezvous hashing is the better guide.
	UnobservedHomeCachedFraction float64
	// RecomputeFactor weighs a recomputed token against a waiting one. Over
	// 1, because prefill that a cached copy elsewhere would have saved
	// delays the requests behind it too.
	RecomputeFactor float64
	// TransferTokensPerSecond is the rate at which pieces move from the KV
	// store; 0 when they cannot.
	TransferTokensPerSecond float64
	// TransferSetup is the fixed time of one move.
	TransferSetup time.Duration
	// EquivalentTokens turns the tokens that a prompt needs prefilled into those that they
	// count as; nil for the same number.
	EquivalentTokens func(prompt, uncached float64) float64
	// OutdatedPenalty is the time that a first token on the newest weights
	// may come later and still be worth more than one on older weights.
	OutdatedPenalty time.Duration
	// NearTie is the difference in cost within which candidates count as
	// equal.
	NearTie time.Duration
	// QueueSlack is the part of a target's queue that is not counted, because
	// what is known of it is old.
	QueueSlack time.Duration
}

// DefaultOptions are the measured defaults; docs/measurements has the runs.
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
