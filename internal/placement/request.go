package placement

import "github.com/mastictray/mastictray/internal/prefix"

// Request describes a request to the picker.
type Request struct {
	// Chain has one hash per full piece of the prompt. The hashes depend on the
	// account, the model and the weights version.
	Chain []prefix.Hash
	// PieceTokens is the number of prompt tokens per piece if all pieces have the
	// same size.
	PieceTokens int
	// PieceEnds is the number of prompt tokens up to the end of each piece of Chain,
	// for pieces that differ in size. If set, it takes precedence over PieceTokens.
	PieceEnds []int
	// PromptTokens is the length of the whole prompt, at least the tokens of all
	// pieces of Chain.
	PromptTokens int
	// FetchablePieces is the number of leading pieces that some eligible target has
	// cached, from which the chosen target can fetch them. The picker sets it.
	FetchablePieces int
	// HeldTokens is the memory that the request occupies on the target while it
	// runs, in tokens.
	HeldTokens int
	// Exclude names a target to skip, such as the one on which an earlier attempt
	// failed; empty for none.
	Exclude string
	// Canary is set if the request goes to a canary, otherwise it goes to a stable target.
	Canary bool
	// Software restricts the targets by the version of their software.
	Software SoftwareRequirement
	// RecomputeFactor overrides the picker's factor unless it is 0.
	RecomputeFactor float64
}

// fullTokens returns the number of prompt tokens in full pieces.
func (r *Request) fullTokens() int { return r.LeadingTokens(len(r.Chain)) }

// LeadingTokens returns the number of prompt tokens in the first n pieces.
func (r *Request) LeadingTokens(n int) int {
	switch {
	case n == 0:
		return 0
	case r.PieceEnds != nil:
		return r.PieceEnds[n-1]
	}
	return n * r.PieceTokens
}

// recomputeFactor returns the request's RecomputeFactor, or the given default.
func (r *Request) recomputeFactor(defaultFactor float64) float64 {
	if r.RecomputeFactor > 0 {
		return r.RecomputeFactor
	}
	return defaultFactor
}
