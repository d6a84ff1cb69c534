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
	"github.com/mastictray/mastictray/internal/rate"
)

// maxAttempts bounds the targets tried for one request.
const maxAttempts = 3

// engineCall is a call to a model with what was decided about it.
type engineCall struct {
	*call
	pool      config.Pool
	model     config.Model
	req       openai.Request
	placement placement.Request
	// print is the request's fingerprint once printed is set.
	cachedFingerprint poison.Fingerprint
	fingerprinted     bool
	cost              float64
	reservation       rate.Reservation
	usage             openai.Usage
	// buf is reused for the events of the answer.
	eventBuf []byte
}

func (s *server) serveEngine(c *call, route config.Route, pool config.Pool, model config.Model, req openai.Request) error {
	c.route = route
	c.deadline = c.startedAt + route.Deadline
	e := &engineCall{call: c, pool: pool, model: model, req: req}
	e.computePlacementAndCost(s.pools.engine(pool.Name).activeVersion())
	if err := s.reserveRate(c, e.cost, &e.reservation); err != nil {
		return err
	}
	used := 0.0
	defer func() { s.rates.settle(&e.reservation, used) }()
	err := s.runEngine(e)
	used = e.chargedTokens(err)
	if err == nil {
		s.metrics.usage(c.account.Name, pool.Name, e.usage)
		logline.Info("request_done", "request", c.id, "account", c.account.Name, "key", c.keyID, "route", route.Name,
			"attempts", c.attempts, "prompt_tokens", e.usage.PromptTokens,
			"cached_tokens", e.usage.PromptTokensDetails.CachedTokens, "completion_tokens", e.usage.CompletionTokens,
			"ms", (s.clock.now() - c.startedAt).Milliseconds())
	}
	return err
}

// placementOf describes a prompt to placement.
func newPlacementRequest(account string, m config.Model, version string, prompt []byte) placement.Request {
	scope := prefix.Scope{Account: account, Model: m.Name, Version: version}
	return placement.Request{
		Chain:        prefix.Chain(nil, scope.Seed(), prompt, m.PieceBytes),
		PieceTokens:  int(float64(m.PieceBytes) / m.BytesPerToken),
		PromptTokens: int(float64(len(prompt))/m.BytesPerToken) + 1,
	}
}

// describe works out the pieces of the prompt and the charge.
func (e *engineCall) computePlacementAndCost(version string) {
	e.placement = newPlacementRequest(e.account.Name, e.model, version, e.req.Prompt)
	output := e.req.MaxTokens
	if output == 0 {
		output = e.model.DefaultMaxTokens
	}
	e.cost = float64(e.placement.PromptTokens + output)
}

// used is what the request is charged in the end. What did not run costs
// nothing; what may have run without a count costs its whole charge.
func (e *engineCall) chargedTokens(err error) float64 {
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
func (s *server) reserveRate(c *call, cost float64, into *rate.Reservation) error {
	o := s.rates.admit(c.r.Context(), c.account.Name, cost, c.deadline)
	if o.Err == nil {
		*into = o.Reservation
		return nil
	}
	switch {
	case errors.Is(o.Err, rate.ErrTooLarge):
		return refusal(http.StatusRequestEntityTooLarge, openai.CodeOverBurst, "the request costs more than the account's whole burst", 0)
	case errors.Is(o.Err, rate.ErrTooManyWaiting):
		return refusal(http.StatusTooManyRequests, openai.CodeOverloaded, "too many requests of the account are waiting", time.Second)
	case errors.Is(o.Err, rate.ErrOverRate):
		return refusal(http.StatusTooManyRequests, openai.CodeRateLimited, "the account is over its rate", max(o.RetryAfter, time.Second))
	default:
		return refusal(http.StatusServiceUnavailable, openai.CodeNotReady, "the request could not be admitted", time.Second)
	}
}

// queued is the request as it waits for a target.
func (e *engineCall) newDispatchRequest() *dispatchRequest {
	return &dispatchRequest{
		Account: e.account.Name, Weight: e.account.Weight, Priority: e.route.Priority,
		Deadline: e.deadline, Placement: e.placement,
	}
}

// placeError passes refusals on; what remains is a caller that left.
func acquireError(err error) error {
	var e *openai.Error
	if errors.As(err, &e) {
		return e
	}
	return refusal(http.StatusServiceUnavailable, openai.CodeDeadline, "the caller left before the request ran", 0)
}

// recheck is the last look before dispatch: the key may have been withdrawn
// and the debit may have lapsed while the request waited or the process was
// paused.
func (s *server) recheckBeforeDispatch(e *engineCall) error {
	if err := s.authorize(e.call); err != nil {
		return err
	}
	if e.attempts == 0 && !s.rates.confirm(e.reservation) {
		s.rates.settle(&e.reservation, 0)
		return s.reserveRate(e.call, e.cost, &e.reservation)
	}
	return nil
}

// attemptError turns a failed exchange into what the caller is told.
func exchangeError(err error) error {
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
func rejectionError(resp *http.Response) error {
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
