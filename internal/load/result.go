package load

import (
	"time"

	"github.com/mastictray/mastictray/internal/prefix"
	"github.com/mastictray/mastictray/internal/standin/engine"
)

// Outcome classifies how a request ended.
type Outcome string

// The outcomes of a request.
const (
	// OutcomeOK: the answer was complete and passed all checks.
	OutcomeOK Outcome = "ok"
	// OutcomeRateRefused: refused with status 429.
	OutcomeRateRefused Outcome = "rate_refused"
	// OutcomeRefused: refused with another status and marked as not run.
	OutcomeRefused Outcome = "refused"
	// OutcomeFailed: no complete answer, and the caller could tell.
	OutcomeFailed Outcome = "failed"
	// OutcomeViolation: the answer violated a guarantee.
	OutcomeViolation Outcome = "violation"
)

// Result is the outcome of one request.
type Result struct {
	Account string
	// At is the scheduled arrival, relative to the start of the run.
	At      time.Duration
	Outcome Outcome
	// Code is the error code or error message of a request that is not ok.
	Code string
	// TimeToFirstToken is the time from the scheduled arrival to the first chunk.
	TimeToFirstToken time.Duration
	// Tokens is the number of prompt tokens plus the requested output tokens.
	Tokens int
	Usage  engine.Usage
	// Pieces are the hashes of the prompt's pieces, chained in the account's scope.
	Pieces []prefix.Hash
}

// newResult returns the result of a request that is still to be sent.
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
