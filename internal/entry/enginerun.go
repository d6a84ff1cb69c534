package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/attempt"
	"github.com/mastictray/mastictray/internal/openai"
	"github.com/mastictray/mastictray/internal/overload"
	"github.com/mastictray/mastictray/internal/sse"
)

const (
	// chunkIdle breaks a stream that brings nothing for so long.
	chunkIdleTimeout     = 10 * time.Second
	cancelAttemptTimeout = time.Second
)

// errTargetDown ends the answers of a target that answers no load questions.
var errTargetUnresponsive = errors.New("target answers no questions")

// engineRun carries one request through its attempts: it does the I/O that
// the attempt state machine asks for.
type engineRun struct {
	server *server
	call   *engineCall
	pool   *enginePool
	stream *attempt.Stream

	// The present leg: one connection to one target.
	placed    placedAttempt
	attemptID string
	leg       int
	ctx       context.Context
	cancel    context.CancelCauseFunc
	resp      *http.Response
	events    *sse.Reader
	idleTimer *time.Timer
	// counted is set once the pool knows what became of the leg's attempt.
	resultRecorded bool
	// sent is set while the leg's target may be running the request, and
	// incarnation is the process that does, as far as is known.
	mayBeRunning bool
	incarnation  string
	// vetted is set while the request counts as admitted, and isolated is
	// the only target that it may go to then; empty for any.
	admitted bool
	// unvetted is set when nothing was suspected at that time, and the
	// registry does not know the request.
	unregistered   bool
	isolatedTarget string
	// refused is the last refusal of a target, for the caller.
	lastRejection error
}

func (s *server) runEngine(e *engineCall) error {
	r := &engineRun{server: s, call: e, pool: s.pools.engine(e.pool.Name)}
	r.stream = attempt.NewStream(attempt.Policy{
		RequestID: e.id, Idempotent: e.route.Idempotent, MaxDispatches: maxAttempts, IdleTimeout: chunkIdleTimeout,
	})
	defer r.closeLeg()
	defer r.closeAttempt()
	err := r.runAttempts()
	s.poison.ended(e.id, err == nil)
	return err
}

func (r *engineRun) runAttempts() error {
	r.server.retryBudget.AddRequest()
	act, err := r.dispatch()
	for err == nil {
		if act.Cancel != nil {
			go r.cancelAttempt(*act.Cancel)
		}
		switch act.Kind {
		case attempt.Relay:
			r.writeEvent(act)
			if act.Done {
				return r.recordSuccess()
			}
			act = r.readNext()
		case attempt.None:
			act = r.readNext()
		case attempt.Resume:
			act = r.resume(act)
		case attempt.Redispatch:
			act, err = r.redispatch()
		case attempt.EndOK:
			r.writeFullResponse(act.Data)
			return r.recordSuccess()
		case attempt.EndError:
			return r.endWithError(act)
		}
	}
	return err
}

// dispatch places the request and sends it. An error is a refusal before any
// byte reached a target in this attempt.
func (r *engineRun) dispatch() (attempt.Action, error) {
	pl, err := r.chooseTarget()
	if err != nil {
		return attempt.Action{}, err
	}
	if err := r.server.recheckBeforeDispatch(r.call); err != nil {
		r.pool.recordNotPrefilled(pl, overload.Cancelled)
		return attempt.Action{}, err
	}
	r.closeAttempt()
	r.call.attempts++
	r.placed, r.attemptID, r.resultRecorded = pl, attemptID(r.call.call), false
	r.incarnation = pl.Identity.Incarnation
	r.leg = r.stream.Dispatch(r.server.clock.now(), r.attemptID, pl.target)
	r.openLeg()
	r.server.poison.started(r.call.id, pl.target)
	resp, err := r.server.targetClient.send(r.ctx, r.newAttemptRequest())
	if err != nil {
		return r.handleSendError(err), nil
	}
	r.stream.SendStarted(r.leg)
	r.mayBeRunning = true
	return r.handleResponseHead(resp), nil
}

// choose vets the request and waits for a target.
func (r *engineRun) chooseTarget() (placedAttempt, error) {
	for tries := 1; ; tries++ {
		if !r.admitted {
			if err := r.checkPoison(); err != nil {
				return placedAttempt{}, err
			}
			r.admitted = true
		}
		if r.isolatedTarget == "" {
			break
		}
		pl, err := r.pool.acquireOn(r.isolatedTarget, r.call.newDispatchRequest())
		if err == nil || tries >= maxAttempts {
			return pl, err
		}
		r.releaseIsolatedTarget()
	}
	pl, err := r.pool.acquire(r.call.r.Context(), r.call.newDispatchRequest())
	if err != nil {
		return placedAttempt{}, acquireError(err)
	}
	return pl, nil
}

// redispatch tries another target, or ends the request when there is none.
func (r *engineRun) redispatch() (attempt.Action, error) {
	if err := r.reportTargetLoss(); err != nil {
		return attempt.Action{}, r.sendFinalError(err)
	}
	r.call.placement.Exclude = r.placed.target
	r.releaseIsolatedTarget()
	if (r.server.clock.now() >= r.call.deadline && !r.call.headSent) || !r.server.retryBudget.TakeRetry() {
		return r.stream.NoTarget(), nil
	}
	act, err := r.dispatch()
	var e *openai.Error
	if errors.As(err, &e) && e.Code == openai.CodeQuarantined {
		return act, r.sendFinalError(err)
	}
	if err != nil && (r.call.headSent || r.stream.Outcome() != attempt.NotRun) {
		return r.stream.NoTarget(), nil
	}
	return act, err
}

// prefilled tells the pool that the first token came: the target has done the
// work and holds the prompt's pieces.
func (r *engineRun) recordPrefilled() {
	if !r.resultRecorded {
		r.resultRecorded = true
		r.pool.recordPrefilled(r.placed)
	}
}

// lost tells the pool that the attempt ended before its first token, and what
// that says of the target.
func (r *engineRun) recordNotPrefilled(result overload.Result) {
	if !r.resultRecorded {
		r.resultRecorded = true
		r.pool.recordNotPrefilled(r.placed, result)
	}
}

// brokenResult is what an exchange that broke says of the target: nothing when
// the caller left.
func (r *engineRun) resultOfBrokenExchange() overload.Result {
	if r.call.r.Context().Err() != nil {
		return overload.Cancelled
	}
	return overload.Failed
}

// unreachable tells the pool when no connection to the target was made.
func (r *engineRun) reportUnreachable(err error) {
	if r.call.r.Context().Err() == nil && outcomeOfSendError(err) == openai.NotRun {
		r.pool.markUnreachable(r.placed.target)
	}
}

// abandon ends an attempt that ended in no other way: one left open would keep
// a place at a target that starts slowly for ever.
func (r *engineRun) closeAttempt() {
	if r.attemptID != "" {
		r.recordNotPrefilled(overload.Cancelled)
	}
}

func (r *engineRun) recordSuccess() error {
	r.server.metrics.attempt(r.call.pool.Name, "answered")
	r.server.metrics.answered(r.call.account.Name, r.call.pool.Name)
	r.recordPrefilled()
	if r.call.usage.PromptTokens > 0 {
		r.pool.recordCachedTokens(r.placed, r.call.usage.PromptTokensDetails.CachedTokens)
	}
	return nil
}

// failed ends the request with an error: an event when a part of the answer
// is out, else a whole answer.
func (r *engineRun) endWithError(act attempt.Action) error {
	if err := r.reportTargetLoss(); err != nil {
		return r.sendFinalError(err)
	}
	e := &openai.Error{
		Status: http.StatusBadGateway, Code: openai.CodeTargetFailed, Outcome: openai.Outcome(act.Outcome),
		Message: "no target gave the whole answer: " + string(act.Cause), RetryAfter: time.Second, RequestID: r.call.id,
	}
	var refused *openai.Error
	if errors.As(r.lastRejection, &refused) && act.Cause == attempt.CauseRejected {
		e = refused
	}
	if act.Cause == attempt.CauseIdle {
		e.Status, e.Code = http.StatusGatewayTimeout, openai.CodeDeadline
	}
	if r.call.headSent {
		e.Code = openai.CodeStreamBroken
	}
	return r.sendFinalError(e)
}

// final ends a stream whose head is out with an error event.
func (r *engineRun) sendFinalError(err error) error {
	var e *openai.Error
	if r.call.headSent && errors.As(err, &e) {
		answer := *e
		answer.RequestID = r.call.id
		r.writeErrorEvent(&answer)
	}
	return err
}
