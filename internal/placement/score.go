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
	return scorers(o, o.QueueSlack, (*Target).prefillRate)
}

// unequalScorers returns the scorers for targets with different capacity weights. The order of the
// candidates gives fast targets more requests. If the scores preferred them as well, they would be
// overloaded, so prefill counts at the same rate everywhere.
func unequalScorers(o Options, pool *Pool) []Scorer {
	return scorers(o, o.UnequalQueueSlack, func(*Target) float64 { return pool.MeanPrefillRate() })
}

func scorers(o Options, queueSlack time.Duration, prefillRate func(*Target) float64) []Scorer {
	return []Scorer{
		queueScorer{slack: queueSlack},
		prefillScorer{recomputeFactor: o.RecomputeFactor, transferRate: o.TransferTokensPerSecond, transferSetup: o.TransferSetup, rate: prefillRate},
		homeScorer{recomputeFactor: o.RecomputeFactor, rate: prefillRate},
		linkScorer{domain: o.Domain, delay: o.CrossDomainDelay},
		outdatedScorer{penalty: o.OutdatedPenalty},
		slotScorer{slotTime: o.SlotTime},
		memoryScorer{},
	}
}
