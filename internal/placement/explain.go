package placement

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Term is the contribution of one scorer to a candidate's cost.
type Term struct {
	Scorer string        `json:"scorer"`
	Cost   time.Duration `json:"cost_ns"`
}

// ExplainedTarget describes how one target was assessed in a decision.
type ExplainedTarget struct {
	Target string `json:"target"`
	Domain string `json:"domain"`
	// RejectedBy names the filters that rejected the target.
	RejectedBy   []string      `json:"rejected_by,omitempty"`
	Rank         int           `json:"rank"`
	CachedPieces int           `json:"cached_pieces"`
	Terms        []Term        `json:"terms,omitempty"`
	Cost         time.Duration `json:"cost_ns"`
}

// Explanation describes how a decision was made.
type Explanation struct {
	Pieces     int               `json:"pieces"`
	Candidates []ExplainedTarget `json:"candidates"`
	Rejected   []ExplainedTarget `json:"rejected,omitempty"`
	Winner     string            `json:"winner,omitempty"`
	Reason     string            `json:"why"`
}

// Explain makes the same decision as Pick and reports every candidate and every
// rejected target.
func (p *Picker) Explain(now time.Duration, r *Request, rng *rand.Rand) Explanation {
	d, err := p.Pick(now, r, rng)
	e := Explanation{Pieces: len(r.Chain), Candidates: []ExplainedTarget{}}
	for i := range p.scored {
		e.Candidates = append(e.Candidates, p.explainTarget(&p.scored[i]))
	}
	for i := range p.pool.targets {
		if names := p.pool.RejectedBy(i); names != nil {
			t := &p.pool.targets[i]
			e.Rejected = append(e.Rejected, ExplainedTarget{Target: t.Name, Domain: t.Domain, RejectedBy: names})
		}
	}
	if err != nil {
		e.Reason = "every target is rejected by a filter"
		return e
	}
	e.Winner = p.pool.targets[d.Index].Name
	e.Reason = p.explainChoice(d)
	return e
}

// explainTarget reports the rank, the cached pieces and the cost terms of a scored
// candidate.
func (p *Picker) explainTarget(c *Candidate) ExplainedTarget {
	t := &p.pool.targets[c.Index]
	x := ExplainedTarget{Target: t.Name, Domain: t.Domain, Rank: c.Rank, CachedPieces: c.CachedPieces, Cost: c.Cost}
	for i, s := range p.activeScorers() {
		x.Terms = append(x.Terms, Term{Scorer: s.Name(), Cost: c.Terms[i]})
	}
	return x
}

// explainChoice compares the winner with the cheapest other candidate.
func (p *Picker) explainChoice(d Decision) string {
	var other *Candidate
	for i := range p.scored {
		c := &p.scored[i]
		if c.Index != d.Index && (other == nil || c.Cost < other.Cost) {
			other = c
		}
	}
	if other == nil {
		return "the only candidate"
	}
	name := p.pool.targets[other.Index].Name
	if diff := other.Cost - d.Cost; diff > p.options.NearTie {
		return fmt.Sprintf("%v sooner than %s, known to hold %d pieces against %d",
			diff.Round(time.Microsecond), name, d.CachedPieces, other.CachedPieces)
	}
	if p.pool.inverseWeights != nil {
		return fmt.Sprintf("before %s in the order by capacity (%v apart)", name, (other.Cost - d.Cost).Round(time.Microsecond))
	}
	return fmt.Sprintf("drawn among near ties with %s (%v apart)", name, (other.Cost - d.Cost).Round(time.Microsecond))
}
