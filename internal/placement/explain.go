package placement

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Term is one scorer's addend.
type Term struct {
	Scorer string        `json:"scorer"`
	Cost   time.Duration `json:"cost_ns"`
}

// ExplainedTarget is one target's part in a decision.
type ExplainedTarget struct {
	Target string `json:"target"`
	Domain string `json:"domain"`
	// RejectedBy names the filters that took the target out.
	RejectedBy   []string      `json:"rejected_by,omitempty"`
	Rank         int           `json:"rank"`
	CachedPieces int           `json:"cached_pieces"`
	Terms        []Term        `json:"terms,omitempty"`
	Cost         time.Duration `json:"cost_ns"`
}

// Explanation says how a decision came about.
type Explanation struct {
	Pieces     int               `json:"pieces"`
	Candidates []ExplainedTarget `json:"candidates"`
	Rejected   []ExplainedTarget `json:"rejected,omitempty"`
	Winner     string            `json:"winner,omitempty"`
	Reason     string            `json:"why"`
}

// Explain decides as Pick does and reports every candidate and rejection.
func (p *Picker) Explain(now time.Duration, r *Request, rng *rand.Rand) Explanation {
	d, err := p.Pick(now, r, rng)
	e := Explanation{Pieces: len(r.Chain), Candidates: []ExplainedTarget{}}
	for i := range p.scored {
		e.Candidates = append(e.Candidates, p.explained(&p.scored[i]))
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
	e.Reason = p.why(d)
	return e
}

func (p *Picker) explained(c *Candidate) ExplainedTarget {
	t := &p.pool.targets[c.Index]
	x := ExplainedTarget{Target: t.Name, Domain: t.Domain, Rank: c.Rank, CachedPieces: c.CachedPieces, Cost: c.Cost}
	for i, s := range p.scorers {
		x.Terms = append(x.Terms, Term{Scorer: s.Name(), Cost: c.Terms[i]})
	}
	return x
}

// why compares the winner with the best of the others.
func (p *Picker) why(d Decision) string {
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
	return fmt.Sprintf("drawn among near ties with %s (%v apart)", name, (other.Cost - d.Cost).Round(time.Microsecond))
}
