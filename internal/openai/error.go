package openai

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// Outcome says whether a failed request ran on a target.
type Outcome string

// The outcomes. NotRun is only said when no byte of the request can have
// reached a target, or a target itself refused it unrun.
const (
	NotRun     Outcome = "not_run"
	MayHaveRun Outcome = "may_have_run"
	Ran        Outcome = "ran"
)

// OutcomeHeader carries the outcome of a failed request.
const OutcomeHeader = "X-Request-Outcome"

// Code is a stable name of a refusal, for programs.
type Code string

// Codes of refusals.
const (
	CodeInvalidKey         Code = "invalid_api_key"
	CodeKeyCutOff          Code = "key_check_cut_off"
	CodeBadRequest         Code = "invalid_request"
	CodeNotFound           Code = "not_found"
	CodeTooLarge           Code = "request_too_large"
	CodeRateLimited        Code = "rate_limit_exceeded"
	CodeOverBurst          Code = "request_over_burst"
	CodeOverloaded         Code = "overloaded"
	CodeNoTarget           Code = "no_target"
	CodeDeadline           Code = "deadline_exceeded"
	CodeTargetFailed       Code = "target_failed"
	CodeStreamBroken       Code = "stream_broken"
	CodeQuarantined        Code = "request_quarantined"
	CodeKeyReused          Code = "idempotency_key_reused"
	CodeInProgress         Code = "idempotent_request_in_progress"
	CodeUnknownOutcome     Code = "idempotent_outcome_unknown"
	CodeClaimsUnavailable  Code = "claims_unavailable"
	CodeNotReady           Code = "not_ready"
	CodeTooManyConnections Code = "too_many_connections"
)

// Error is a refusal or failure as a caller sees it.
type Error struct {
	Status  int
	Code    Code
	Message string
	Outcome Outcome
	// RetryAfter is when to come back; 0 sends no hint.
	RetryAfter time.Duration
	RequestID  string
}

// Error implements error.
func (e *Error) Error() string { return string(e.Code) + ": " + e.Message }

type errorBody struct {
	Error errorFields `json:"error"`
}

type errorFields struct {
	Message   string  `json:"message"`
	Type      string  `json:"type"`
	Code      Code    `json:"code"`
	Outcome   Outcome `json:"outcome"`
	RequestID string  `json:"request_id,omitempty"`
	// RetryAfterMS is the hint in full precision; the header has seconds.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

// JSON is the error in the OpenAI shape.
func (e *Error) JSON() []byte {
	kind := "server_error"
	if e.Status < http.StatusInternalServerError {
		kind = "invalid_request_error"
	}
	raw, _ := json.Marshal(errorBody{Error: errorFields{
		Message: e.Message, Type: kind, Code: e.Code, Outcome: e.Outcome,
		RequestID: e.RequestID, RetryAfterMS: e.RetryAfter.Milliseconds(),
	}})
	return raw
}

// Write sends the error as the whole answer.
func (e *Error) Write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(OutcomeHeader, string(e.Outcome))
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatInt(wholeSeconds(e.RetryAfter), 10))
	}
	w.WriteHeader(e.Status)
	_, _ = w.Write(e.JSON())
}

// wholeSeconds rounds up: a caller that comes back too early is refused again.
func wholeSeconds(d time.Duration) int64 {
	return int64((d + time.Second - 1) / time.Second)
}
