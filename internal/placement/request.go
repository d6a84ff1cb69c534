package placement

import "github.com/mastictray/mastictray/internal/prefix"

// Request is what placement needs to know of a request.
type Request struct {
	// Chain has one hash for each full piece of the prompt; the hashes are
	// bound to account, model and version.
	Chain []prefix.Hash
	// PieceTokens is the prompt tokens in one piece, where all are alike.
	PieceTokens int
	// PieceEnds, where pieces differ in size, has the prompt tokens up to the
	// end of each piece of Chain; it goes before PieceTokens.
	PieceEnds []int
	// PromptTokens counts the whole prompt, at least len(Chain)*PieceTokens.
	PromptTokens int
	// FetchablePieces is the leading pieces that some usable target holds, from
	// which the chosen one can fetch them. The picker sets it.
	FetchablePieces int
	// HeldTokens is the target's memory that the request takes while it runs,
	// in tokens.
	HeldTokens int
	// Exclude names a target to leave out, such as the one that an earlier
	// attempt failed on; empty for none.
	Exclude string
	// RecomputeFactor weighs a recomputed token against a waiting one; 0
	// takes the picker's.
	RecomputeFactor float64
}

// fullTokens is the prompt tokens inside full pieces.
func (r *Request) fullTokens() int { return r.LeadingTokens(len(r.Chain)) }

// LeadingTokens is the prompt tokens in the first n pieces.
func (r *Request) LeadingTokens(n int) int {
	switch {
	case n == 0:
		return 0
	case r.PieceEnds != nil:
		return r.PieceEnds[n-1]
	}
	return n * r.PieceTokens
}

// factor is the weight on recomputing, given the picker's.
func (r *Request) factor(standard float64) float64 {
	if r.RecomputeFactor > 0 {
		return r.RecomputeFactor
	}
	return standard
}
