package entry

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/config"
	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/openai"
	"github.com/mastictray/mastictray/internal/placement"
	"github.com/mastictray/mastictray/internal/poison"
	"github.com/mastictray/mastictray/internal/prefix"
	"github.com/mastictray/mastictray/internal/ratelease"
)

// maxAttempts bounds the targets tried for one request.
const maxAttempts = 3

// engineCall is a call to a model with what was decided about it.
type engineCall struct {
	*call
	pool  config.Pool
	model config.Model
	req   openai.Request
	place placement.Request
	// print is the request's fingerprint once printed is set.
	print    poison.Fingerprint
	printed  bool
	cost     float64
	reserved ratelease.Reservation
	usage    openai.Usage
	// buf is reused for the events of the answer.
	buf []byte
}

func (s *server) serveEngine(c *call, route config.Route, pool config.Pool, model config.Model, req openai.Request) error {
	c.route = route
	c.due = c.began + route.Deadline
	e := &engineCall{call: c, pool: pool, model: model, req: req}
	e.describe(s.pools.engine(pool.Name).activeVersion())
	if err := s.admit(c, e.cost, &e.reserved); err != nil {
		return err
	}
	used := 0.0
	defer func() { s.rates.settle(&e.reserved, used) }()
	err := s.runEngine(e)
	used = e.used(err)
	if err == nil {
		s.metrics.addUsage(c.account.Name, pool.Name, e.usage)
		logline.Info("request_done", "request", c.id, "account", c.account.Name, "key", c.keyID, "route", route.Name,
			"attempts", c.attempts, "prompt_tokens", e.usage.PromptTokens,
			"cached_tokens", e.usage.PromptTokensDetails.CachedTokens, "completion_tokens", e.usage.CompletionTokens,
			"ms", (s.clock.now() - c.began).Milliseconds())
	}
	return err
}

// placementOf describes a prompt to placement.
func placementOf(account string, m config.Model, version string, prompt []byte) placement.Request {
	scope := prefix.Scope{Account: account, Model: m.Name, Version: version}
	return placement.Request{
		Chain:        prefix.Chain(nil, scope.Seed(), prompt, m.PieceBytes),
		PieceTokens:  int(float64(m.PieceBytes) / m.BytesPerToken),
		PromptTokens: int(float64(len(prompt))/m.BytesPerToken) + 1,
	}
}

// describe works out the pieces of the prompt and the charge.
func (e *engineCall) describe(version string) {
	e.place = placementOf(e.account.Name, e.model, version, e.req.Prompt)
	output := e.req.MaxTokens
	if output == 0 {
		output = e.model.DefaultMaxTokens
	}
	e.cost = float64(e.place.PromptTokens + output)
}

// used is what the request is charged in the end. What did not run costs
// nothing; what may have run without a count costs its whole charge.
func (e *engineCall) used(err error) float64 {
	var refused *openai.Error
	if errors.As(err, &refused) && refused.Outcome == openai.NotRun {
		return 0
	}
	if e.usage.PromptTokens == 0 {
		return e.cost
	}
	return float64(e.usage.PromptTokens + e.usage.CompletionTokens)
}

// admit debits the account's rate.
func (s *server) admit(c *call, cost float64, into *ratelease.Reservation) error {
	o := s.rates.admit(c.r.Context(), c.account.Name, cost, c.due)
	if o.Err == nil {
		*into = o.Reservation
		return nil
	}
	switch {
	case errors.Is(o.Err, ratelease.ErrTooLarge):
		return refusal(http.StatusRequestEntityTooLarge, openai.CodeOverBurst, "the request costs more than the account's whole burst", 0)
	case errors.Is(o.Err, ratelease.ErrTooManyWaiting):
		return refusal(http.StatusTooManyRequests, openai.CodeOverloaded, "too many requests of the account are waiting", time.Second)
	case errors.Is(o.Err, ratelease.ErrOverRate):
		return refusal(http.StatusTooManyRequests, openai.CodeRateLimited, "the account is over its rate", max(o.RetryAfter, time.Second))
	default:
		return refusal(http.StatusServiceUnavailable, openai.CodeNotReady, "the request could not be admitted", time.Second)
	}
}

// queued is the request as it waits for a target.
func (e *engineCall) queued() *request {
	return &request{
		Account: e.account.Name, Weight: e.account.Weight, Priority: e.route.Priority,
		Deadline: e.due, Placement: e.place,
	}
}

// placeError passes refusals on; what remains is a caller that left.
func placeError(err error) error {
	var e *openai.Error
	if errors.As(err, &e) {
		return e
	}
	return refusal(http.StatusServiceUnavailable, openai.CodeDeadline, "the caller left before the request ran", 0)
}

// recheck is the last look before dispatch: the key may have been withdrawn
// and the debit may have lapsed while the request waited or the process was
// paused.
func (s *server) recheck(e *engineCall) error {
	if err := s.authorize(e.call); err != nil {
		return err
	}
	if e.attempts == 0 && !s.rates.reservationValid(e.reserved) {
		s.rates.settle(&e.reserved, 0)
		return s.admit(e.call, e.cost, &e.reserved)
	}
	return nil
}

// attemptError turns a failed exchange into what the caller is told.
func attemptError(err error) error {
	var se *sendError
	if !errors.As(err, &se) {
		return err
	}
	return &openai.Error{
		Status: http.StatusBadGateway, Code: openai.CodeTargetFailed, Outcome: se.outcome,
		Message: "the target failed", RetryAfter: time.Second,
	}
}

// targetRefusal turns a target's answer other than 200 into what the caller is
// told. 409, 429 and 503 are refusals before the request ran.
func targetRefusal(resp *http.Response) error {
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBodyBytes))
	switch resp.StatusCode {
	case http.StatusConflict, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return refusal(http.StatusServiceUnavailable, openai.CodeOverloaded, "the target refused the request", time.Second)
	case http.StatusBadRequest:
		return refusal(http.StatusBadRequest, openai.CodeBadRequest, "the target refused the request: "+string(body), 0)
	default:
		return &openai.Error{Status: http.StatusBadGateway, Code: openai.CodeTargetFailed, Outcome: openai.MayHaveRun, Message: "the target failed"}
	}
}
