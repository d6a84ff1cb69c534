package load

import (
	"time"

	"github.com/mastictray/mastictray/internal/prefix"
	"github.com/mastictray/mastictray/internal/standin/engine"
)

// Outcome is how one request ended.
type Outcome string

// The outcomes of a request.
const (
	// OutcomeOK: the whole answer, checked.
	OutcomeOK Outcome = "ok"
	// OutcomeRateRefused: refused with 429.
	OutcomeRateRefused Outcome = "rate_refused"
	// OutcomeRefused: refused with another status, and not run.
	OutcomeRefused Outcome = "refused"
	// OutcomeFailed: no whole answer, and the caller could tell.
	OutcomeFailed Outcome = "failed"
	// OutcomeViolation: a promise was broken.
	OutcomeViolation Outcome = "violation"
)

// Result is what became of one request.
type Result struct {
	Account string
	// At is the scheduled arrival since the start of the run.
	At      time.Duration
	Outcome Outcome
	// Code is the error code or the failure, for a request that is not ok.
	Code string
	// FirstToken is the time from the scheduled arrival to the first chunk.
	FirstToken time.Duration
	// Tokens is the prompt plus the tokens asked for.
	Tokens int
	Usage  engine.Usage
	// Pieces are the prompt's pieces in the account's scope.
	Pieces []prefix.Hash
}

// newResult is the result of an arrival before it is sent.
func newResult(a Arrival, pieceBytes int) Result {
	prompt := a.Request.PromptText()
	scope := prefix.Scope{Account: a.Account.Name, Model: a.Request.Model}
	return Result{
		Account: a.Account.Name,
		At:      a.At,
		Tokens:  engine.CountTokens(prompt) + a.Request.MaxTokens,
		Pieces:  prefix.Chain(nil, scope.Seed(), prompt, pieceBytes),
	}
}
