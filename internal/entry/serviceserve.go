package entry

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/claim"
	"github.com/mastictray/mastictray/internal/config"
	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/openai"
	"github.com/mastictray/mastictray/internal/overload"
	"github.com/mastictray/mastictray/internal/ratelease"
)

// forwardedHeaders go from a caller to a plain service. Everything else stays
// here, above all the caller's key.
var forwardedHeaders = []string{"Content-Type", "Accept", "Accept-Language", headerIdempotency}

// answeredHeaders go back from a plain service to the caller.
var answeredHeaders = []string{"Content-Type", "Content-Language", "Location", "Retry-After"}

// serviceAnswer is the whole answer of a plain service.
type serviceAnswer struct {
	status int
	header http.Header
	body   []byte
}

func (s *server) serveService(c *call, route config.Route, pool config.Pool) error {
	c.route = route
	c.due = c.began + route.Deadline
	var reserved ratelease.Reservation
	if err := s.admit(c, route.CostTokens, &reserved); err != nil {
		return err
	}
	used := route.CostTokens
	defer func() { s.rates.settle(&reserved, used) }()
	err := s.runService(c, pool)
	var refused *openai.Error
	if errors.As(err, &refused) && refused.Outcome == openai.NotRun {
		used = 0
	}
	return err
}

// runService sends the request, under a claim when it may run only once and
// carries an Idempotency-Key.
func (s *server) runService(c *call, pool config.Pool) error {
	key := c.r.Header.Get(headerIdempotency)
	if c.route.Idempotent || key == "" {
		ans, err := s.sendService(c, pool, nil)
		if err != nil {
			return err
		}
		s.answerService(c, pool, ans)
		return nil
	}
	return s.runClaimed(c, pool, key)
}

// sendService tries targets until one answers. before runs right before the
// first byte goes out.
func (s *server) sendService(c *call, pool config.Pool, before func() error) (serviceAnswer, error) {
	s.budget.AddRequest()
	sp := s.pools.service(pool.Name)
	exclude := ""
	for {
		pl, err := sp.acquire(exclude)
		if err != nil {
			return serviceAnswer{}, err
		}
		ans, err := s.tryService(c, pl.target, pl.address, before)
		before = nil
		res := serviceResult(c, ans, err)
		sp.release(pl, res, res == overload.Failed && unreachable(err))
		if err == nil {
			s.metrics.countAttempt(pool.Name, "answered")
			return ans, nil
		}
		s.metrics.countAttempt(pool.Name, "failed")
		if !s.mayRepeat(c, err) {
			return serviceAnswer{}, err
		}
		exclude = pl.target
	}
}

// serviceResult is what an attempt says of its target. An answer with a server
// error goes to the caller as it is, and counts against the target all the
// same.
func serviceResult(c *call, ans serviceAnswer, err error) overload.Result {
	var failed *openai.Error
	switch {
	case err == nil && ans.status < http.StatusInternalServerError:
		return overload.Succeeded
	case err == nil:
		return overload.Failed
	case c.r.Context().Err() == nil && errors.As(err, &failed) && failed.Code == openai.CodeTargetFailed:
		return overload.Failed
	default:
		return overload.Cancelled
	}
}

// unreachable reports that no connection to the target was made.
func unreachable(err error) bool {
	var failed *openai.Error
	return errors.As(err, &failed) && failed.Code == openai.CodeTargetFailed && failed.Outcome == openai.NotRun
}

func (s *server) mayRepeat(c *call, err error) bool {
	var failed *openai.Error
	if !errors.As(err, &failed) || failed.Code != openai.CodeTargetFailed {
		return false
	}
	if c.attempts >= maxAttempts || c.r.Context().Err() != nil || s.clock.now() >= c.due {
		return false
	}
	return (c.route.Idempotent || failed.Outcome == openai.NotRun) && s.budget.TakeRetry()
}

func (s *server) tryService(c *call, name, address string, before func() error) (serviceAnswer, error) {
	if err := s.authorize(c); err != nil {
		return serviceAnswer{}, err
	}
	if before != nil {
		if err := before(); err != nil {
			return serviceAnswer{}, err
		}
	}
	c.attempts++
	ctx, cancel := s.serviceContext(c)
	defer cancel()
	resp, err := s.targets.send(ctx, attemptRequest{
		attempt: attemptID(c), target: name, address: address, method: c.r.Method, path: c.r.URL.Path,
		query: c.r.URL.RawQuery, account: c.account.Name, priority: c.route.Priority,
		header: forwarded(c.r.Header), body: c.body, once: !c.route.Idempotent,
	})
	if err != nil {
		return serviceAnswer{}, attemptError(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBodyBytes))
	if err != nil {
		return serviceAnswer{}, attemptError(&sendError{step: "read answer", target: name, outcome: openai.MayHaveRun, cause: err})
	}
	return serviceAnswer{status: resp.StatusCode, header: resp.Header, body: body}, nil
}

// serviceContext bounds an attempt by the deadline. A request that may run
// only once is not cut off when its caller leaves: its answer has to be
// recorded for the caller's repeat.
func (s *server) serviceContext(c *call) (context.Context, context.CancelFunc) {
	parent := c.r.Context()
	if !c.route.Idempotent {
		parent = context.WithoutCancel(parent)
	}
	return context.WithTimeout(parent, c.due-s.clock.now())
}

func forwarded(from http.Header) http.Header {
	to := http.Header{}
	for _, name := range forwardedHeaders {
		if v := from.Values(name); len(v) > 0 {
			to[http.CanonicalHeaderKey(name)] = v
		}
	}
	return to
}

func (s *server) answerService(c *call, pool config.Pool, ans serviceAnswer) {
	for _, name := range answeredHeaders {
		if v := ans.header.Get(name); v != "" {
			c.w.Header().Set(name, v)
		}
	}
	c.w.WriteHeader(ans.status)
	_, _ = c.w.Write(ans.body)
	s.metrics.countAnswer(c.account.Name, pool.Name)
	logline.Info("request_done", "request", c.id, "account", c.account.Name, "key", c.keyID, "route", c.route.Name,
		"attempts", c.attempts, "status", ans.status, "ms", (s.clock.now() - c.began).Milliseconds())
}

// runClaimed runs a request at most once over all instances.
func (s *server) runClaimed(c *call, pool config.Pool, key string) error {
	answer, err := s.claims.acquire(c.r.Context(), claim.Request{
		ID: c.id, Account: c.account.Name, Key: key,
		RequestHash: claim.HashRequest(c.r.Method, c.r.URL.RequestURI(), c.body),
		Deadline:    c.due, RunWhenLogDown: c.route.RunWhenLogDown,
	})
	if err != nil {
		return refusal(http.StatusServiceUnavailable, openai.CodeClaimsUnavailable, "the caller left before the request ran", time.Second)
	}
	if answer.State != claim.Run {
		return s.answerRepeat(c, pool, answer)
	}
	ans, err := s.sendService(c, pool, func() error { return s.claims.beginDispatch(c.id) })
	if err == nil {
		s.claims.recordResult(c.id, claim.Result{Status: ans.status, ContentType: ans.header.Get("Content-Type"), Body: ans.body})
		s.answerService(c, pool, ans)
		return nil
	}
	return s.claimedFailure(c, err)
}

// claimedFailure settles the claim of a request that got no answer.
func (s *server) claimedFailure(c *call, err error) error {
	var failed *openai.Error
	if errors.As(err, &failed) && failed.Outcome != openai.NotRun {
		s.claims.recordResult(c.id, claim.Result{Unknown: true})
		return err
	}
	s.claims.cancel(c.id)
	if errors.As(err, &failed) {
		return err
	}
	return refusal(http.StatusServiceUnavailable, openai.CodeClaimsUnavailable, "the claim lapsed before the request was sent", time.Second)
}

// answerRepeat answers a request whose key is another request's.
func (s *server) answerRepeat(c *call, pool config.Pool, a claim.Answer) error {
	switch a.State {
	case claim.Replay:
		return s.replay(c, pool, *a.Result)
	case claim.InProgress:
		return &openai.Error{Status: http.StatusConflict, Code: openai.CodeInProgress, Outcome: openai.MayHaveRun, Message: "the first request with this key is still running", RetryAfter: time.Second}
	case claim.MayHaveRun, claim.TooOld:
		return unknownOutcome()
	case claim.BodyMismatch:
		return refusal(http.StatusUnprocessableEntity, openai.CodeKeyReused, "the key belongs to a different request", 0)
	default:
		return refusal(http.StatusServiceUnavailable, openai.CodeClaimsUnavailable, "no claim could be had for the key", time.Second)
	}
}

// unknownOutcome is the answer to a repeat whose first request may have run.
func unknownOutcome() *openai.Error {
	return &openai.Error{
		Status: http.StatusConflict, Code: openai.CodeUnknownOutcome, Outcome: openai.MayHaveRun,
		Message: "a request with this key may have run; its outcome is not known",
	}
}

// replay gives the first request's answer to its repeat.
func (s *server) replay(c *call, pool config.Pool, res claim.Result) error {
	if res.Unknown {
		return unknownOutcome()
	}
	if res.BodyDropped {
		return &openai.Error{Status: http.StatusConflict, Code: openai.CodeUnknownOutcome, Outcome: openai.Ran, Message: "the request ran; its answer was too large to keep"}
	}
	c.w.Header().Set("Idempotent-Replayed", "true")
	s.answerService(c, pool, serviceAnswer{status: res.Status, header: http.Header{"Content-Type": {res.ContentType}}, body: res.Body})
	return nil
}
