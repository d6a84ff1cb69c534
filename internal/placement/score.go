package placement

import "time"

// maxScorers is the maximum number of scorers of a picker. It lets a candidate hold
// its terms in an array, without an allocation.
const maxScorers = 8

// Candidate is a target that is scored for a request.
type Candidate struct {
	// Index is the index of the target in the pool.
	Index int
	// Rank is the position in rendezvous order, starting at 0.
	Rank int
	// CachedPieces is the number of leading pieces known to be cached.
	CachedPieces int
	// AssumedCachedTokens is the number of further prompt tokens that the home
	// target is assumed to have cached.
	AssumedCachedTokens float64
	// Terms has the cost of each scorer, in the order of the scorers.
	Terms [maxScorers]time.Duration
	// Cost is the sum of Terms: the expected time to first token.
	Cost time.Duration
}

// Scorer computes one term of the expected time to first token.
type Scorer interface {
	// Name identifies the scorer in explanations and must not change.
	Name() string
	// Cost returns the term for one candidate. It must not allocate.
	Cost(now time.Duration, r *Request, t *Target, c *Candidate) time.Duration
}

// DefaultScorers returns the scorers that every pool uses.
func DefaultScorers(o Options) []Scorer {
	return []Scorer{
		queueScorer{slack: o.QueueSlack},
		prefillScorer{recomputeFactor: o.RecomputeFactor, transferRate: o.TransferTokensPerSecond, transferSetup: o.TransferSetup},
		homeScorer{recomputeFactor: o.RecomputeFactor},
		linkScorer{domain: o.Domain, delay: o.CrossDomainDelay},
		outdatedScorer{penalty: o.OutdatedPenalty},
		slotScorer{slotTime: o.SlotTime},
		memoryScorer{},
	}
}
