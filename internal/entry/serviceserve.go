package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/callerlimit"
	"github.com/mastictray/mastictray/internal/claim"
	"github.com/mastictray/mastictray/internal/config"
	"github.com/mastictray/mastictray/internal/openai"
	"github.com/mastictray/mastictray/internal/overload"
	"github.com/mastictray/mastictray/internal/ratelease"
)

// forwardedRequestHeaders are the request headers that are forwarded to a plain
// service. No other header is, in particular not the caller's key.
var forwardedRequestHeaders = []string{"Content-Type", "Accept", "Accept-Language", headerIdempotencyKey}

// errTargetWithdrawn means that a target asked for a pause after it was chosen. Nothing was
// sent there.
var errTargetWithdrawn = errors.New("target takes no request now")

func (s *server) serveService(c *call, route config.Route, pool config.Pool) error {
	c.route = route
	c.deadline = c.startedAt + route.Deadline
	var reservation ratelease.Reservation
	if err := s.reserveRate(c, route.CostTokens, &reservation); err != nil {
		return err
	}
	charged := route.CostTokens
	defer func() { s.rates.settle(&reservation, charged) }()
	err := s.runService(c, pool)
	var refused *openai.Error
	if errors.As(err, &refused) && refused.Outcome == openai.NotRun {
		charged = 0
	}
	return err
}

// runService sends the request. If the route is not idempotent and the request
// has an Idempotency-Key, it is sent under a claim.
func (s *server) runService(c *call, pool config.Pool) error {
	key := c.r.Header.Get(headerIdempotencyKey)
	if c.route.Idempotent || key == "" {
		resp, err := s.sendService(c, pool, nil)
		if err != nil {
			return err
		}
		s.writeServiceResponse(c, pool, resp)
		return nil
	}
	return s.runClaimed(c, pool, key)
}

// sendService tries targets until one responds. beforeSend is called once, right
// before the first byte is sent.
func (s *server) sendService(c *call, pool config.Pool, beforeSend func() error) (serviceResponse, error) {
	s.retryBudget.AddRequest()
	targetPool := s.pools.service(pool.Name)
	exclude := ""
	for {
		pl, err := targetPool.acquire(exclude)
		if err != nil {
			return serviceResponse{}, err
		}
		resp, err := s.tryService(c, pl.target, pl.address, beforeSend)
		beforeSend = nil
		if errors.Is(err, errTargetWithdrawn) {
			targetPool.release(pl, overload.Cancelled, false)
			continue
		}
		result := resultOfServiceAttempt(c, resp, err)
		unreachable := result == overload.Failed && isUnreachableError(err)
		if result == overload.Failed && err != nil && !unreachable && s.pathFailed(c.r.Context(), pl.address) {
			result = overload.Cancelled
		}
		targetPool.release(pl, result, unreachable)
		if err == nil {
			s.metrics.countAttempt(pool.Name, "answered")
			return resp, nil
		}
		s.metrics.countAttempt(pool.Name, "failed")
		if !s.mayRetry(c, err) {
			return serviceResponse{}, err
		}
		exclude = pl.target
	}
}

// resultOfServiceAttempt returns what an attempt means for the target's
// breaker. A response with a server error counts as a failure, although it is
// forwarded to the caller unchanged.
func resultOfServiceAttempt(c *call, resp serviceResponse, err error) overload.Result {
	var failed *openai.Error
	switch {
	case err == nil && resp.status < http.StatusInternalServerError:
		return overload.Succeeded
	case err == nil:
		return overload.Failed
	case c.r.Context().Err() == nil && errors.As(err, &failed) && failed.Code == openai.CodeTargetFailed:
		return overload.Failed
	default:
		return overload.Cancelled
	}
}

// isUnreachableError reports whether no connection to the target was made.
func isUnreachableError(err error) bool {
	var failed *openai.Error
	return errors.As(err, &failed) && failed.Code == openai.CodeTargetFailed && failed.Outcome == openai.NotRun
}

func (s *server) mayRetry(c *call, err error) bool {
	var failed *openai.Error
	if !errors.As(err, &failed) || failed.Code != openai.CodeTargetFailed || c.headSent {
		return false
	}
	if c.attempts >= maxAttempts || c.r.Context().Err() != nil || s.clock.now() >= c.deadline {
		return false
	}
	return (c.route.Idempotent || failed.Outcome == openai.NotRun) && s.retryBudget.TakeRetry()
}

func (s *server) tryService(c *call, name, address string, beforeSend func() error) (serviceResponse, error) {
	if err := s.authorize(c); err != nil {
		return serviceResponse{}, err
	}
	if beforeSend != nil {
		if err := beforeSend(); err != nil {
			return serviceResponse{}, err
		}
	}
	if !s.pools.announcements.maySend(s.clock.now(), address) {
		return serviceResponse{}, errTargetWithdrawn
	}
	c.attempts++
	ctx, cancel := s.serviceAttemptContext(c)
	defer cancel()
	if c.route.Idempotent {
		var responded func()
		ctx, responded = s.watchPath(ctx, address)
		defer responded()
	}
	resp, err := s.targetClient.send(ctx, attemptRequest{
		attemptID: attemptID(c), target: name, address: address, method: c.r.Method, path: c.r.URL.Path,
		query: c.r.URL.RawQuery, account: c.account.Name, priority: c.route.Priority,
		header: filterRequestHeaders(c.r.Header), body: c.body, sendOnce: !c.route.Idempotent,
	})
	if err != nil {
		return serviceResponse{}, exchangeError(err)
	}
	defer resp.Body.Close()
	response, err := s.readServiceResponse(c, resp)
	switch {
	case err == nil:
		return response, nil
	case c.cutShort && ctx.Err() != nil:
		// The caller took it too slowly, which is no failure of the target.
		return serviceResponse{}, &openai.Error{
			Status: http.StatusGatewayTimeout, Code: openai.CodeDeadline, Outcome: openai.MayHaveRun, Message: "the response was not taken in time",
		}
	}
	return serviceResponse{}, exchangeError(&sendError{op: "read response", target: name, outcome: openai.MayHaveRun, cause: err})
}

// serviceAttemptContext returns a context that ends at the deadline. A request
// that may run only once is not cancelled when its caller disconnects, as its
// response must be recorded for a retry by the caller.
func (s *server) serviceAttemptContext(c *call) (context.Context, context.CancelFunc) {
	parent := c.r.Context()
	if !c.route.Idempotent {
		parent = context.WithoutCancel(parent)
	}
	return context.WithTimeout(parent, c.deadline-s.clock.now())
}

func filterRequestHeaders(in http.Header) http.Header {
	out := http.Header{}
	for _, name := range forwardedRequestHeaders {
		if v := in.Values(name); len(v) > 0 {
			out[http.CanonicalHeaderKey(name)] = v
		}
	}
	return out
}

// runClaimed runs a request at most once across all instances.
func (s *server) runClaimed(c *call, pool config.Pool, key string) error {
	answer, err := s.claims.acquire(c.r.Context(), claim.Request{
		ID: c.id, Account: c.account.Name, Key: key,
		RequestHash: claim.HashRequest(c.r.Method, c.r.URL.RequestURI(), c.body),
		Deadline:    c.deadline, RunWhenLogDown: c.route.RunWhenLogDown,
	})
	if err != nil {
		return refusal(http.StatusServiceUnavailable, openai.CodeClaimsUnavailable, "the caller disconnected before the request ran", time.Second)
	}
	if answer.State != claim.Run {
		return s.answerDuplicate(c, pool, answer)
	}
	resp, err := s.sendService(c, pool, func() error { return s.claims.beginDispatch(c.id) })
	if err == nil {
		s.claims.recordResult(c.id, resp.claimResult())
		s.writeServiceResponse(c, pool, resp)
		return nil
	}
	return s.settleFailedClaim(c, err)
}

// settleFailedClaim settles the claim of a request that got no response.
func (s *server) settleFailedClaim(c *call, err error) error {
	var failed *openai.Error
	if errors.As(err, &failed) && failed.Outcome != openai.NotRun {
		s.claims.recordResult(c.id, claim.Result{Unknown: true})
		return err
	}
	s.claims.cancel(c.id)
	if errors.As(err, &failed) {
		return err
	}
	return refusal(http.StatusServiceUnavailable, openai.CodeClaimsUnavailable, "the claim expired before the request was sent", time.Second)
}

// answerDuplicate answers a request whose key is already claimed by another
// request.
func (s *server) answerDuplicate(c *call, pool config.Pool, a claim.Answer) error {
	switch a.State {
	case claim.Replay:
		return s.replayResult(c, pool, *a.Result)
	case claim.InProgress:
		return &openai.Error{Status: http.StatusConflict, Code: openai.CodeInProgress, Outcome: openai.MayHaveRun, Message: "the first request with this idempotency key is still running", RetryAfter: time.Second}
	case claim.MayHaveRun, claim.TooOld:
		return unknownOutcomeError()
	case claim.BodyMismatch:
		return refusal(http.StatusUnprocessableEntity, openai.CodeKeyReused, "the idempotency key belongs to a different request", 0)
	default:
		return refusal(http.StatusServiceUnavailable, openai.CodeClaimsUnavailable, "no claim could be obtained for the key", time.Second)
	}
}

// unknownOutcomeError is the response to a duplicate of a request that may have
// run.
func unknownOutcomeError() *openai.Error {
	return &openai.Error{
		Status: http.StatusConflict, Code: openai.CodeUnknownOutcome, Outcome: openai.MayHaveRun,
		Message: "a request with this idempotency key may have run; its outcome is unknown",
	}
}

// replayResult sends the recorded response of the first request.
func (s *server) replayResult(c *call, pool config.Pool, result claim.Result) error {
	if result.Unknown {
		return unknownOutcomeError()
	}
	if result.BodyDropped {
		return &openai.Error{Status: http.StatusConflict, Code: openai.CodeUnknownOutcome, Outcome: openai.Ran, Message: "the request ran; its response was too large to store"}
	}
	c.w.Header().Set("Idempotent-Replayed", "true")
	s.writeServiceResponse(c, pool, serviceResponse{status: result.Status, header: http.Header{"Content-Type": {result.ContentType}}, body: callerlimit.ResponseOf(result.Body)})
	return nil
}
