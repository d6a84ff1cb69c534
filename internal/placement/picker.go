package placement

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/cacheindex"
	"github.com/mastictray/mastictray/internal/prefix"
)

// ErrNoTarget is returned when filters reject every target of the pool. The request
// has not run.
var ErrNoTarget = errors.New("placement: filters reject every target of the pool")

// Decision is the result of placing one request.
type Decision struct {
	// Index is the index of the chosen target in the pool.
	Index int
	// CachedPieces is the number of leading pieces of the chain that the target is
	// known to have cached.
	CachedPieces int
	// UncachedTokens is the number of prompt tokens that the target is expected to
	// prefill, converted by Options.EquivalentTokens.
	UncachedTokens float64
	// Cost is the value by which candidates were compared.
	Cost time.Duration
	// Expected is the expected time to first token, without RecomputeFactor and
	// without the latency common to all prompts. Queued is the part of it that is
	// spent waiting for earlier work.
	Expected, Queued time.Duration
}

// Picker selects targets for requests to one pool. Apart from buffers, it keeps no
// state besides the pool and the index. It is not safe for concurrent use.
type Picker struct {
	pool    *Pool
	index   *cacheindex.Index
	options Options
	scorers []Scorer
	// unequalScorers replace scorers while targets have different capacity weights.
	unequalScorers []Scorer
	ranked         []ranked
	scored         []Candidate
	// rejected is the buffer of rejections.
	rejected []Rejection
	// cacheStateKnown is set once cache events are followed.
	cacheStateKnown bool
}

// NewPicker returns a picker over a pool and the index of its targets' caches.
func NewPicker(pool *Pool, index *cacheindex.Index, o Options) *Picker {
	return &Picker{
		pool:    pool,
		index:   index,
		options: o,
		scorers: DefaultScorers(o),

		unequalScorers: unequalScorers(o, pool),
		ranked:         make([]ranked, 0, o.MaxCandidates+1),
		scored:         make([]Candidate, 0, o.MaxCandidates+1),
	}
}

// PrefillTime returns the time that a target of the pool's mean prefill rate takes for the
// given number of prompt tokens.
func (p *Picker) PrefillTime(tokens float64) time.Duration {
	rate := p.pool.MeanPrefillRate()
	if rate == 0 {
		return 0
	}
	return processingTime(tokens, rate)
}

// SetCacheStateKnown tells the picker that this process follows the cache events of
// the targets and knows what they had cached before.
func (p *Picker) SetCacheStateKnown() { p.cacheStateKnown = true }

// CacheStateKnown reports whether SetCacheStateKnown was called.
func (p *Picker) CacheStateKnown() bool { return p.cacheStateKnown }

// Pick selects a target. It does not allocate. Near ties are resolved at random, so
// that instances with the same information do not all select the same target.
func (p *Picker) Pick(now time.Duration, r *Request, rng *rand.Rand) (Decision, error) {
	p.selectCandidates(r, rng)
	if len(p.scored) == 0 {
		return Decision{}, ErrNoTarget
	}
	p.findFetchable(r)
	for i := range p.scored {
		p.score(now, r, &p.scored[i])
	}
	return p.decision(now, r, &p.scored[p.choose(rng)]), nil
}

// choose returns the index of the chosen candidate. With different weights it is the first of
// nearly equal ones, since a random choice among them would not be by weight.
func (p *Picker) choose(rng *rand.Rand) int {
	if p.pool.inverseWeights != nil {
		return chooseFirst(p.scored, p.options.NearTie)
	}
	return choose(p.scored, p.options.NearTie, rng)
}

// activeScorers returns the scorers in use.
func (p *Picker) activeScorers() []Scorer {
	if p.pool.inverseWeights != nil {
		return p.unequalScorers
	}
	return p.scorers
}

// decision describes the choice of candidate c for the request.
func (p *Picker) decision(now time.Duration, r *Request, c *Candidate) Decision {
	t := &p.pool.targets[c.Index]
	rate := t.prefillRate()
	missing := float64(r.PromptTokens - r.LeadingTokens(max(c.CachedPieces, r.FetchablePieces)))
	uncached := max(0, missing-assumedCacheHitRate*c.AssumedCachedTokens)
	if p.options.EquivalentTokens != nil {
		uncached = p.options.EquivalentTokens(float64(r.PromptTokens), uncached)
	}
	queued := processingTime(t.Load.Queued(now, rate), rate)
	return Decision{
		Index:          c.Index,
		CachedPieces:   c.CachedPieces,
		UncachedTokens: uncached,
		Cost:           c.Cost,
		Expected:       queued + processingTime(uncached, rate),
		Queued:         queued,
	}
}

// selectCandidates fills p.scored with the first eligible targets in rendezvous
// order. Requests for a hot prefix spread without further coordination: when the
// queue of the first target costs more than recomputing the prefix, every instance
// selects the next target in the same order.
func (p *Picker) selectCandidates(r *Request, rng *rand.Rand) {
	key, rejected := p.affinityKey(r, rng), p.rejections(r)
	p.ranked = p.pool.rank(p.ranked[:0], key, rejected, p.options.MaxCandidates)
	p.scored = p.scored[:0]
	for _, k := range p.ranked {
		if r.Exclude != "" && p.pool.targets[k.index].Name == r.Exclude {
			continue
		}
		p.scored = append(p.scored, Candidate{Index: int(k.index), Rank: len(p.scored)})
	}
}

// findFetchable sets r.FetchablePieces to the most leading pieces that any eligible
// target has cached.
func (p *Picker) findFetchable(r *Request) {
	r.FetchablePieces = 0
	if p.options.TransferTokensPerSecond <= 0 || len(r.Chain) == 0 {
		return
	}
	for i := range p.pool.targets {
		if p.pool.rejected[i] == 0 && r.FetchablePieces < len(r.Chain) {
			r.FetchablePieces = max(r.FetchablePieces, p.index.Cached(p.pool.targets[i].Cache, r.Chain))
		}
	}
}

// FetchSource returns the target from which the chosen one can fetch pieces, and how
// many leading pieces that target has cached. It is the target with the same weights
// that has the most pieces; ties are resolved in favour of the chosen target's
// domain. It returns false if no target has more pieces than the chosen one.
func (p *Picker) FetchSource(d Decision, r *Request) (index, pieces int, ok bool) {
	to := &p.pool.targets[d.Index]
	best, bestPieces, bestInDomain := -1, d.CachedPieces, false
	for i := range p.pool.targets {
		t := &p.pool.targets[i]
		if i == d.Index || p.pool.rejected[i] != 0 || t.Version != to.Version {
			continue
		}
		n, inDomain := p.index.Cached(t.Cache, r.Chain), t.Domain == to.Domain
		if n > bestPieces || n == bestPieces && best >= 0 && inDomain && !bestInDomain {
			best, bestPieces, bestInDomain = i, n, inDomain
		}
	}
	return best, bestPieces, best >= 0
}

// affinityKey returns the rendezvous key of a request. A prompt without a full piece
// has no cached prefix to return to, so its key is random.
func (p *Picker) affinityKey(r *Request, rng *rand.Rand) prefix.Hash {
	n := min(len(r.Chain), p.options.AffinityPieces)
	if n == 0 {
		return prefix.Hash(rng.Uint64())
	}
	return r.Chain[n-1]
}

// score sets the cached pieces, the cost terms and the cost of a candidate.
func (p *Picker) score(now time.Duration, r *Request, c *Candidate) {
	t := &p.pool.targets[c.Index]
	c.CachedPieces = p.index.Cached(t.Cache, r.Chain)
	if c.Rank == 0 {
		full := float64(r.fullTokens())
		c.AssumedCachedTokens = max(0, p.homeCachedFraction()*full-float64(r.LeadingTokens(max(c.CachedPieces, r.FetchablePieces))))
	}
	for i, s := range p.activeScorers() {
		c.Terms[i] = s.Cost(now, r, t, c)
		c.Cost += c.Terms[i]
	}
}

// assumedCacheHitRate is the fraction of AssumedCachedTokens that is subtracted from
// a request's expected work: about the hit rate of these assumptions.
const assumedCacheHitRate = 0.5

// homeCachedFraction returns the fraction of a prompt that the home target is
// assumed to have cached.
func (p *Picker) homeCachedFraction() float64 {
	if p.cacheStateKnown {
		return p.options.HomeCachedFraction
	}
	return p.options.UnobservedHomeCachedFraction
}

// cheapest returns the index of the candidate with the lowest cost.
func cheapest(scored []Candidate) int {
	best := 0
	for i := range scored {
		if scored[i].Cost < scored[best].Cost {
			best = i
		}
	}
	return best
}

// chooseFirst picks the first candidate whose cost is within nearTie of the lowest.
func chooseFirst(scored []Candidate, nearTie time.Duration) int {
	best := cheapest(scored)
	for i := range scored[:best] {
		if scored[i].Cost <= scored[best].Cost+nearTie {
			return i
		}
	}
	return best
}

// choose picks at random among the candidates whose cost is within nearTie of the
// lowest.
func choose(scored []Candidate, nearTie time.Duration, rng *rand.Rand) int {
	best := cheapest(scored)
	limit := scored[best].Cost + nearTie
	chosen, ties := best, 0
	for i := range scored {
		if scored[i].Cost > limit {
			continue
		}
		ties++
		if rng.IntN(ties) == 0 {
			chosen = i
		}
	}
	return chosen
}
