package openai

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// Outcome tells whether a failed request was executed by a target.
type Outcome string

// Outcomes of a failed request. NotRun is reported only if no byte of the request
// can have reached a target, or if the target stated that it did not execute it.
const (
	NotRun     Outcome = "not_run"
	MayHaveRun Outcome = "may_have_run"
	Ran        Outcome = "ran"
)

// OutcomeHeader is the response header that carries the Outcome.
const OutcomeHeader = "X-Request-Outcome"

// Code is a stable, machine-readable error code.
type Code string

// Error codes.
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
	CodeMemoryFull         Code = "memory_full"
	CodeBodyTooSlow        Code = "body_too_slow"
)

// Error is an error response to a caller.
type Error struct {
	Status  int
	Code    Code
	Message string
	Outcome Outcome
	// RetryAfter is the delay before a retry is useful; 0 sends no Retry-After
	// header.
	RetryAfter time.Duration
	RequestID  string
}

// Error implements the error interface.
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
	// RetryAfterMS repeats the Retry-After header, which has whole seconds, in
	// milliseconds.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

// JSON encodes the error in the OpenAI format.
func (e *Error) JSON() []byte {
	errorType := "server_error"
	if e.Status < http.StatusInternalServerError {
		errorType = "invalid_request_error"
	}
	raw, _ := json.Marshal(errorBody{Error: errorFields{
		Message: e.Message, Type: errorType, Code: e.Code, Outcome: e.Outcome,
		RequestID: e.RequestID, RetryAfterMS: e.RetryAfter.Milliseconds(),
	}})
	return raw
}

// Write sends the error as a complete response.
func (e *Error) Write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(OutcomeHeader, string(e.Outcome))
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatInt(ceilSeconds(e.RetryAfter), 10))
	}
	body := e.JSON()
	// Without it, the response would end only with its handler.
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(e.Status)
	_, _ = w.Write(body)
}

// ceilSeconds rounds up to whole seconds: a caller that retries too early is
// refused again.
func ceilSeconds(d time.Duration) int64 {
	return int64((d + time.Second - 1) / time.Second)
}
