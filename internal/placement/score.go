package placement

import "time"

// maxScorers bounds the scorers of a picker, so that a candidate's terms need
// no allocation.
const maxScorers = 8

// Candidate is one target that was scored for a request.
type Candidate struct {
	// Index is the target's index in the pool.
	Index int
	// Rank is the place in rendezvous order; 0 is the first.
	Rank int
	// CachedPieces is the number of leading pieces known to be held.
	CachedPieces int
	// AssumedCachedTokens is the further prompt tokens that the first target in
	// rendezvous order is counted on to hold, though nothing is known.
	AssumedCachedTokens float64
	// Terms has one addend for each scorer, in order.
	Terms [maxScorers]time.Duration
	// Cost is the expected time to first token.
	Cost time.Duration
}

// Scorer adds one term to the expected time to first token.
type Scorer interface {
	// Name is a stable word for explanations.
	Name() string
	// Cost is the term for one candidate. It must not allocate.
	Cost(now time.Duration, r *Request, t *Target, c *Candidate) time.Duration
}

// DefaultScorers are the scorers of every pool.
func DefaultScorers(o Options) []Scorer {
	return []Scorer{
		queueScorer{slack: o.QueueSlack},
		prefillScorer{factor: o.RecomputeFactor, transfer: o.TransferTokensPerSecond, setup: o.TransferSetup},
		homeScorer{factor: o.RecomputeFactor},
		linkScorer{domain: o.Domain, delay: o.CrossDomainDelay},
		outdatedScorer{penalty: o.OutdatedPenalty},
	}
}
