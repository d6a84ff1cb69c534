package placement

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/cacheindex"
	"github.com/mastictray/mastictray/internal/prefix"
)

// ErrNoTarget: filters reject every target of the pool. The request did not
// run.
var ErrNoTarget = errors.New("placement: no target")

// Decision is the outcome for one request.
type Decision struct {
	// Index is the chosen target's index in the pool.
	Index int
	// CachedPieces is what the target is known to hold of the chain.
	CachedPieces int
	// UncachedTokens is the prompt tokens it is expected to prefill, by
	// Options.Work.
	UncachedTokens float64
	// Cost is what candidates were compared by.
	Cost time.Duration
	// Expected is the expected time to first token, without the weight on
	// recomputing and the latency that all prompts see. Queued is the part of it
	// that is work ahead.
	Expected, Queued time.Duration
}

// Picker places requests on the targets of one pool. It keeps no state that a
// decision needs beyond the pool and the index: only buffers. It is not safe
// for concurrent use.
type Picker struct {
	pool    *Pool
	index   *cacheindex.Index
	options Options
	scorers []Scorer
	ranked  []ranked
	scored  []Candidate
	// caughtUp is set once cache events are followed.
	caughtUp bool
}

// NewPicker makes a picker over a pool and the index of its targets' caches.
func NewPicker(pool *Pool, index *cacheindex.Index, o Options) *Picker {
	return &Picker{
		pool:    pool,
		index:   index,
		options: o,
		scorers: DefaultScorers(o),
		ranked:  make([]ranked, 0, o.MaxCandidates+1),
		scored:  make([]Candidate, 0, o.MaxCandidates+1),
	}
}

// PrefillTime is the time that a target of the pool takes for so many prompt
// tokens.
func (p *Picker) PrefillTime(tokens float64) time.Duration {
	if len(p.pool.targets) == 0 {
		return 0
	}
	return seconds(tokens, p.pool.targets[0].rate())
}

// SetCacheStateKnown tells the picker that this process follows the targets' cache
// events and knows what they held before.
func (p *Picker) SetCacheStateKnown() { p.caughtUp = true }

// CacheStateKnown reports whether CaughtUp was called.
func (p *Picker) CacheStateKnown() bool { return p.caughtUp }

// Pick chooses a target. It allocates nothing. The random source breaks near
// ties, so that instances with the same view do not all choose the same one.
func (p *Picker) Pick(now time.Duration, r *Request, rng *rand.Rand) (Decision, error) {
	p.candidates(r, rng)
	if len(p.scored) == 0 {
		return Decision{}, ErrNoTarget
	}
	p.findElsewhere(r)
	for i := range p.scored {
		p.score(now, r, &p.scored[i])
	}
	return p.decision(now, r, &p.scored[choose(p.scored, p.options.NearTie, rng)]), nil
}

func (p *Picker) decision(now time.Duration, r *Request, c *Candidate) Decision {
	t := &p.pool.targets[c.Index]
	rate := t.rate()
	missing := float64(r.PromptTokens - r.LeadingTokens(max(c.CachedPieces, r.FetchablePieces)))
	uncached := max(0, missing-trustedShare*c.AssumedCachedTokens)
	if p.options.EquivalentTokens != nil {
		uncached = p.options.EquivalentTokens(float64(r.PromptTokens), uncached)
	}
	queued := seconds(t.Load.Queued(now, rate), rate)
	return Decision{
		Index:          c.Index,
		CachedPieces:   c.CachedPieces,
		UncachedTokens: uncached,
		Cost:           c.Cost,
		Expected:       queued + seconds(uncached, rate),
		Queued:         queued,
	}
}

// candidates fills p.scored with the first live targets in rendezvous order.
// A hot prefix widens by itself: when the queue of the first costs more than
// recomputing, the next in the same order wins, on every instance alike.
func (p *Picker) candidates(r *Request, rng *rand.Rand) {
	p.ranked = topRanked(p.ranked[:0], p.anchor(r, rng), p.pool.seeds, p.pool.rejected, p.options.MaxCandidates)
	p.scored = p.scored[:0]
	for _, k := range p.ranked {
		if r.Exclude != "" && p.pool.targets[k.index].Name == r.Exclude {
			continue
		}
		p.scored = append(p.scored, Candidate{Index: int(k.index), Rank: len(p.scored)})
	}
}

// findElsewhere sets how many leading pieces can be fetched from some target.
func (p *Picker) findElsewhere(r *Request) {
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

// FetchSource is the target to fetch pieces from that the chosen one lacks: the one
// of the same weights that holds most, in the chosen one's domain where that
// is equal, and how many leading pieces it holds. False when none holds more.
func (p *Picker) FetchSource(d Decision, r *Request) (index, pieces int, ok bool) {
	to := &p.pool.targets[d.Index]
	best, most, near := -1, d.CachedPieces, false
	for i := range p.pool.targets {
		t := &p.pool.targets[i]
		if i == d.Index || p.pool.rejected[i] != 0 || t.Version != to.Version {
			continue
		}
		n, same := p.index.Cached(t.Cache, r.Chain), t.Domain == to.Domain
		if n > most || n == most && best >= 0 && same && !near {
			best, most, near = i, n, same
		}
	}
	return best, most, best >= 0
}

// anchor is the rendezvous key of a request. A prompt without a full piece
// has nothing to find again and may go anywhere.
func (p *Picker) anchor(r *Request, rng *rand.Rand) prefix.Hash {
	n := min(len(r.Chain), p.options.AffinityPieces)
	if n == 0 {
		return prefix.Hash(rng.Uint64())
	}
	return r.Chain[n-1]
}

func (p *Picker) score(now time.Duration, r *Request, c *Candidate) {
	t := &p.pool.targets[c.Index]
	c.CachedPieces = p.index.Cached(t.Cache, r.Chain)
	if c.Rank == 0 {
		full := float64(r.fullTokens())
		c.AssumedCachedTokens = max(0, p.trust()*full-float64(r.LeadingTokens(max(c.CachedPieces, r.FetchablePieces))))
	}
	for i, s := range p.scorers {
		c.Terms[i] = s.Cost(now, r, t, c)
		c.Cost += c.Terms[i]
	}
}

// trustedShare is the part of the trusted tokens that is taken to be cached
// when a request's work is counted: about the hit rate of such guesses.
const trustedShare = 0.5

// trust is the part of a prompt that the first target in rendezvous order is
// counted on to hold.
func (p *Picker) trust() float64 {
	if p.caughtUp {
		return p.options.HomeCachedFraction
	}
	return p.options.UnobservedHomeCachedFraction
}

// choose draws one of the candidates within nearTie of the best.
func choose(scored []Candidate, nearTie time.Duration, rng *rand.Rand) int {
	best := 0
	for i := range scored {
		if scored[i].Cost < scored[best].Cost {
			best = i
		}
	}
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
