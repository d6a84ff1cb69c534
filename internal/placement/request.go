package placement

import "github.com/mastictray/mastictray/internal/prefix"

// Request is what placement needs to know of a request.
type Request struct {
	// Chain has one hash for each full piece of the prompt; the hashes are
	// bound to account, model and version.
	Chain []prefix.Hash
	// PieceTokens is the prompt tokens in one piece.
	PieceTokens int
	// PromptTokens counts the whole prompt, at least len(Chain)*PieceTokens.
	PromptTokens int
	// Exclude names a target to leave out, such as the one that an earlier
	// attempt failed on; empty for none.
	Exclude string
	// RecomputeFactor weighs a recomputed token against a waiting one; 0
	// takes the picker's.
	RecomputeFactor float64
}

// fullTokens is the prompt tokens inside full pieces.
func (r *Request) fullTokens() int {
	return len(r.Chain) * r.PieceTokens
}

// factor is the weight on recomputing, given the picker's.
func (r *Request) factor(standard float64) float64 {
	if r.RecomputeFactor > 0 {
		return r.RecomputeFactor
	}
	return standard
}
