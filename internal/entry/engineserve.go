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

// maxAttempts is the maximum number of targets tried for one request.
const maxAttempts = 3

// engineCall is a call to a model, with its pool, placement and cost.
type engineCall struct {
	*call
	pool      config.Pool
	model     config.Model
	req       openai.Request
	placement placement.Request
	// cachedFingerprint is the request's fingerprint if fingerprinted is set.
	cachedFingerprint poison.Fingerprint
	fingerprinted     bool
	cost              float64
	reservation       ratelease.Reservation
	usage             openai.Usage
	// eventBuf is reused for each event of the response.
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
	charged := 0.0
	defer func() { s.rates.settle(&e.reservation, charged) }()
	err := s.runEngine(e)
	charged = e.chargedTokens(err)
	if err == nil {
		s.metrics.addUsage(c.account.Name, pool.Name, e.usage)
		logline.Info("request_done", "request", c.id, "account", c.account.Name, "key", c.keyID, "route", route.Name,
			"attempts", c.attempts, "prompt_tokens", e.usage.PromptTokens,
			"cached_tokens", e.usage.PromptTokensDetails.CachedTokens, "completion_tokens", e.usage.CompletionTokens,
			"ms", (s.clock.now() - c.startedAt).Milliseconds())
	}
	return err
}

// newPlacementRequest returns the placement parameters of a prompt.
func newPlacementRequest(account string, m config.Model, version string, prompt []byte) placement.Request {
	scope := prefix.Scope{Account: account, Model: m.Name, Version: version}
	return placement.Request{
		Chain:        prefix.Chain(nil, scope.Seed(), prompt, m.PieceBytes),
		PieceTokens:  int(float64(m.PieceBytes) / m.BytesPerToken),
		PromptTokens: int(float64(len(prompt))/m.BytesPerToken) + 1,
	}
}

// computePlacementAndCost sets the placement parameters and the tokens to
// reserve.
func (e *engineCall) computePlacementAndCost(version string) {
	e.placement = newPlacementRequest(e.account.Name, e.model, version, e.req.Prompt)
	output := e.req.MaxTokens
	if output == 0 {
		output = e.model.DefaultMaxTokens
	}
	e.cost = float64(e.placement.PromptTokens + output)
}

// chargedTokens returns the number of tokens that the request is charged at its
// end. A request that did not run is not charged. One that may have run but
// returned no usage is charged its whole estimated cost.
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

// reserveRate debits the cost from the account's rate limit.
func (s *server) reserveRate(c *call, cost float64, reservation *ratelease.Reservation) error {
	outcome := s.rates.admit(c.r.Context(), c.account.Name, cost, c.deadline)
	if outcome.Err == nil {
		*reservation = outcome.Reservation
		return nil
	}
	switch {
	case errors.Is(outcome.Err, ratelease.ErrTooLarge):
		return refusal(http.StatusRequestEntityTooLarge, openai.CodeOverBurst, "the request costs more tokens than the account's burst limit", 0)
	case errors.Is(outcome.Err, ratelease.ErrTooManyWaiting):
		return refusal(http.StatusTooManyRequests, openai.CodeOverloaded, "too many requests of the account are waiting", time.Second)
	case errors.Is(outcome.Err, ratelease.ErrOverRate):
		return refusal(http.StatusTooManyRequests, openai.CodeRateLimited, "the account is over its rate", max(outcome.RetryAfter, time.Second))
	default:
		return refusal(http.StatusServiceUnavailable, openai.CodeNotReady, "the request could not be admitted", time.Second)
	}
}

// newDispatchRequest returns the request for the pool's dispatcher.
func (e *engineCall) newDispatchRequest() *dispatchRequest {
	return &dispatchRequest{
		Account: e.account.Name, Weight: e.account.Weight, Priority: e.route.Priority,
		Deadline: e.deadline, Placement: e.placement,
	}
}

// acquireError returns refusals unchanged. Any other error means that the
// caller disconnected.
func acquireError(err error) error {
	var e *openai.Error
	if errors.As(err, &e) {
		return e
	}
	return refusal(http.StatusServiceUnavailable, openai.CodeDeadline, "the caller disconnected before the request ran", 0)
}

// recheckBeforeDispatch checks the key and the reservation again. While the
// request waited or the process was paused, the key may have been withdrawn and
// the reservation may have expired.
func (s *server) recheckBeforeDispatch(e *engineCall) error {
	if err := s.authorize(e.call); err != nil {
		return err
	}
	if e.attempts == 0 && !s.rates.reservationValid(e.reservation) {
		s.rates.settle(&e.reservation, 0)
		return s.reserveRate(e.call, e.cost, &e.reservation)
	}
	return nil
}

// exchangeError converts a failed exchange with a target to the error returned
// to the caller.
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

// rejectionError converts a response with a status other than 200 to the error
// returned to the caller. With 409, 429 and 503 the target refused the request
// before running it. The reason that comes with 400 is passed on if it is whole.
func rejectionError(resp *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBodyBytes))
	if err != nil {
		logline.Error(err, "rejection_unreadable", "address", resp.Request.URL.Host, "status", resp.StatusCode)
	}
	switch resp.StatusCode {
	case http.StatusConflict, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return refusal(http.StatusServiceUnavailable, openai.CodeOverloaded, "the target refused the request", time.Second)
	case http.StatusBadRequest:
		if err == nil {
			return refusal(http.StatusBadRequest, openai.CodeBadRequest, "the target refused the request: "+string(body), 0)
		}
	}
	return &openai.Error{Status: http.StatusBadGateway, Code: openai.CodeTargetFailed, Outcome: openai.MayHaveRun, Message: "the target failed"}
}
