package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/attempt"
	"github.com/mastictray/mastictray/internal/crashpieces"
	"github.com/mastictray/mastictray/internal/openai"
	"github.com/mastictray/mastictray/internal/overload"
	"github.com/mastictray/mastictray/internal/sse"
)

const (
	// chunkIdleTimeout closes a stream on which no chunk arrives for this long.
	chunkIdleTimeout     = 10 * time.Second
	cancelAttemptTimeout = time.Second
)

// errTargetUnresponsive cancels the responses of a target that does not answer
// load queries.
var errTargetUnresponsive = errors.New("target does not answer load queries")

// engineRun carries out the attempts of one request. It performs the I/O for the
// actions that the attempt state machine returns.
type engineRun struct {
	server *server
	call   *engineCall
	pool   *enginePool
	stream *attempt.Stream

	// The current connection to a target; conn is its number.
	placed    placedAttempt
	attemptID string
	conn      int
	ctx       context.Context
	cancel    context.CancelCauseFunc
	resp      *http.Response
	events    *sse.Reader
	idleTimer *time.Timer
	// resultRecorded is set once the result of the current attempt has been
	// recorded in the pool.
	resultRecorded bool
	// mayBeRunning is set while the target of the current connection may be
	// running the request. incarnation is the target's incarnation as last
	// reported.
	mayBeRunning bool
	incarnation  string
	// admitted is set while the poison registry's admission is valid.
	// isolatedTarget is then the only target on which the request may run;
	// empty means any.
	admitted bool
	// unregistered is set if there were no suspects at admission, so that the
	// request was not registered in the poison registry.
	unregistered   bool
	isolatedTarget string
	// answer is that of the current attempt.
	answer crashpieces.Answer
	// probesPiece is set if the request shows whether a blocked piece still crashes engines.
	probesPiece bool
	// lastRejection is the last rejection by a target, to be returned to the
	// caller.
	lastRejection error
}

func (s *server) runEngine(e *engineCall) error {
	r := &engineRun{server: s, call: e, pool: s.pools.engine(e.pool.Name)}
	r.stream = attempt.NewStream(attempt.Policy{
		RequestID: e.id, Idempotent: e.route.Idempotent, MaxDispatches: maxAttempts, IdleTimeout: chunkIdleTimeout,
	})
	defer r.closeConnection()
	defer r.closeAttempt()
	err := r.runAttempts()
	s.poison.ended(e.id, err == nil)
	return err
}

func (r *engineRun) runAttempts() error {
	if err := r.checkPieces(); err != nil {
		return err
	}
	r.server.retryBudget.AddRequest()
	act, err := r.dispatch()
	for err == nil {
		if act.Cancel != nil {
			go r.cancelAttempt(*act.Cancel)
		}
		switch act.Kind {
		case attempt.Relay:
			r.noteAnswer(false)
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

// dispatch chooses a target and sends the request. If it returns an error, no
// byte of this attempt was sent.
func (r *engineRun) dispatch() (attempt.Action, error) {
	pl, err := r.placeForDispatch()
	if err != nil {
		return attempt.Action{}, err
	}
	r.closeAttempt()
	r.call.attempts++
	r.placed, r.attemptID, r.resultRecorded = pl, attemptID(r.call.call), false
	r.answer = crashpieces.Answer{}
	r.incarnation = pl.Identity.Incarnation
	r.conn = r.stream.Dispatch(r.server.clock.now(), r.attemptID, pl.target)
	r.openConnection()
	r.server.poison.started(r.call.id, pl.target)
	resp, err := r.server.targetClient.send(r.ctx, r.newAttemptRequest())
	if err != nil {
		return r.handleSendError(err), nil
	}
	r.stream.SendStarted(r.conn)
	r.mayBeRunning = true
	return r.handleResponseHead(resp), nil
}

// placeForDispatch chooses a target and checks the request again. The checks may take time,
// in which the target may ask for a pause or announce that it leaves; then it chooses again.
func (r *engineRun) placeForDispatch() (placedAttempt, error) {
	for {
		pl, err := r.chooseTarget()
		if err != nil {
			return placedAttempt{}, err
		}
		if err = r.checkPieces(); err == nil {
			err = r.server.recheckBeforeDispatch(r.call)
		}
		if err == nil && r.maySend(pl.address) {
			return pl, nil
		}
		r.pool.recordNotPrefilled(pl, overload.Cancelled)
		if err != nil {
			return placedAttempt{}, err
		}
	}
}

// maySend reports whether a request may be sent to the target at the address now.
func (r *engineRun) maySend(address string) bool {
	return r.pool.announcements.maySend(r.server.clock.now(), address)
}

// paused reports whether the target at the address has asked for a pause, in which not even a
// request is cancelled there.
func (r *engineRun) paused(address string) bool {
	_, paused := r.pool.announcements.pausedUntil(r.server.clock.now(), address)
	return paused
}

// chooseTarget checks the request against the poison registry and waits for a
// target.
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
	request := r.call.newDispatchRequest()
	request.Placement.Software.Version, request.Placement.Software.Required = r.stream.RequiredSoftware()
	pl, err := r.pool.acquire(r.call.r.Context(), request)
	if err != nil {
		return placedAttempt{}, acquireError(err)
	}
	return pl, nil
}

// redispatch tries another target. If there is none, it ends the request.
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

// recordPrefilled records in the pool that the target has prefilled the prompt
// and caches its pieces, once per attempt.
func (r *engineRun) recordPrefilled() {
	if !r.resultRecorded {
		r.resultRecorded = true
		r.pool.recordPrefilled(r.placed)
	}
}

// recordNotPrefilled records in the pool that the attempt ended before its
// first token, and with which result for the target's breaker.
func (r *engineRun) recordNotPrefilled(result overload.Result) {
	if !r.resultRecorded {
		r.resultRecorded = true
		r.pool.recordNotPrefilled(r.placed, result)
	}
}

// resultOfBrokenExchange returns what a broken exchange means for the target's
// breaker. It means nothing if the caller disconnected or the path to the target failed.
func (r *engineRun) resultOfBrokenExchange() overload.Result {
	if ctx := r.call.r.Context(); ctx.Err() != nil || r.server.pathFailed(ctx, r.placed.address) {
		return overload.Cancelled
	}
	return overload.Failed
}

// reportUnreachable opens the target's breaker if the error shows that no
// connection could be made.
func (r *engineRun) reportUnreachable(err error) {
	if r.call.r.Context().Err() == nil && outcomeOfSendError(err) == openai.NotRun {
		r.pool.markUnreachable(r.placed.target)
	}
}

// closeAttempt records a result for the current attempt if there is none yet.
// Without one, the attempt would count as in flight forever and use up a place
// at a target in slow start.
func (r *engineRun) closeAttempt() {
	if r.attemptID != "" {
		r.recordNotPrefilled(overload.Cancelled)
	}
}

func (r *engineRun) recordSuccess() error {
	r.noteAnswer(true)
	r.server.metrics.countAttempt(r.call.pool.Name, "answered")
	r.server.metrics.countAnswer(r.call.account.Name, r.call.pool.Name)
	r.recordPrefilled()
	if r.call.usage.PromptTokens > 0 {
		r.pool.recordCachedTokens(r.placed, r.call.usage.PromptTokensDetails.CachedTokens)
	}
	return nil
}

// endWithError ends the request with an error. It is sent as an event if part
// of the response was already sent, otherwise as the whole response.
func (r *engineRun) endWithError(act attempt.Action) error {
	if err := r.reportTargetLoss(); err != nil {
		return r.sendFinalError(err)
	}
	e := &openai.Error{
		Status: http.StatusBadGateway, Code: openai.CodeTargetFailed, Outcome: openai.Outcome(act.Outcome),
		Message: "no target returned a complete response: " + string(act.Cause), RetryAfter: time.Second, RequestID: r.call.id,
	}
	var rejection *openai.Error
	if errors.As(r.lastRejection, &rejection) && act.Cause == attempt.CauseRejected {
		e = rejection
	}
	if e.Outcome == openai.NotRun && e.RetryAfter > 0 {
		e.RetryAfter = r.pool.retryAfter(e.RetryAfter)
	}
	if act.Cause == attempt.CauseIdle {
		e.Status, e.Code = http.StatusGatewayTimeout, openai.CodeDeadline
	}
	if r.call.headSent {
		e.Code = openai.CodeStreamBroken
	}
	return r.sendFinalError(e)
}

// sendFinalError sends the error as an event if the head of the response was
// already sent.
func (r *engineRun) sendFinalError(err error) error {
	var e *openai.Error
	if r.call.headSent && errors.As(err, &e) {
		response := *e
		response.RequestID = r.call.id
		r.writeErrorEvent(&response)
	}
	return err
}
