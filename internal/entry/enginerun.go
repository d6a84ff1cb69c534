package entry

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/attempt"
	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/openai"
	"github.com/mastictray/mastictray/internal/overload"
	"github.com/mastictray/mastictray/internal/sse"
)

const (
	// chunkIdle breaks a stream that brings nothing for so long.
	chunkIdle     = 10 * time.Second
	cancelTimeout = time.Second
)

// errTargetDown ends the answers of a target that answers no load questions.
var errTargetDown = errors.New("target answers no questions")

// engineRun carries one request through its attempts: it does the I/O that
// the attempt state machine asks for.
type engineRun struct {
	s      *server
	e      *engineCall
	pool   *enginePool
	stream *attempt.Stream

	// The present leg: one connection to one target.
	at     placed
	id     string
	leg    int
	ctx    context.Context
	cancel context.CancelCauseFunc
	resp   *http.Response
	events *sse.Reader
	idle   *time.Timer
	// counted is set once the pool knows what became of the leg's attempt.
	counted bool
	// sent is set while the leg's target may be running the request, and
	// incarnation is the process that does, as far as is known.
	sent        bool
	incarnation string
	// vetted is set while the request counts as admitted, and isolated is
	// the only target that it may go to then; empty for any.
	vetted bool
	// unvetted is set when nothing was suspected at that time, and the
	// registry does not know the request.
	unvetted bool
	isolated string
	// refused is the last refusal of a target, for the caller.
	refused error
}

func (s *server) runEngine(e *engineCall) error {
	r := &engineRun{s: s, e: e, pool: s.pools.engine(e.pool.Name)}
	r.stream = attempt.NewStream(attempt.Policy{
		Request: e.id, Repeatable: e.route.Idempotent, MaxDispatches: maxAttempts, IdleTimeout: chunkIdle,
	})
	defer r.closeLeg()
	defer r.abandon()
	err := r.loop()
	s.poison.ended(e.id, err == nil)
	return err
}

func (r *engineRun) loop() error {
	r.s.budget.request()
	act, err := r.dispatch()
	for err == nil {
		if act.Cancel != nil {
			go r.cancelAttempt(*act.Cancel)
		}
		switch act.Kind {
		case attempt.Relay:
			r.write(act)
			if act.Done {
				return r.finished()
			}
			act = r.read()
		case attempt.None:
			act = r.read()
		case attempt.Resume:
			act = r.resume(act)
		case attempt.Redispatch:
			act, err = r.redispatch()
		case attempt.EndOK:
			r.writeWhole(act.Data)
			return r.finished()
		case attempt.EndError:
			return r.failed(act)
		}
	}
	return err
}

// dispatch places the request and sends it. An error is a refusal before any
// byte reached a target in this attempt.
func (r *engineRun) dispatch() (attempt.Action, error) {
	pl, err := r.choose()
	if err != nil {
		return attempt.Action{}, err
	}
	if err := r.s.recheck(r.e); err != nil {
		r.pool.lost(pl, overload.Cancelled)
		return attempt.Action{}, err
	}
	r.abandon()
	r.e.attempts++
	r.at, r.id, r.counted = pl, attemptID(r.e.call), false
	r.incarnation = pl.Identity.Incarnation
	r.leg = r.stream.Dispatch(r.s.clock.now(), r.id, pl.target)
	r.openLeg()
	r.s.poison.started(r.e.id, pl.target)
	resp, err := r.s.targets.send(r.ctx, r.request())
	if err != nil {
		return r.sendFailed(err), nil
	}
	r.stream.Sent(r.leg)
	r.sent = true
	return r.opened(resp), nil
}

// choose vets the request and waits for a target.
func (r *engineRun) choose() (placed, error) {
	for tries := 1; ; tries++ {
		if !r.vetted {
			if err := r.vet(); err != nil {
				return placed{}, err
			}
			r.vetted = true
		}
		if r.isolated == "" {
			break
		}
		pl, err := r.pool.acquireOn(r.isolated, r.e.queued())
		if err == nil || tries >= maxAttempts {
			return pl, err
		}
		r.release()
	}
	pl, err := r.pool.acquire(r.e.r.Context(), r.e.queued())
	if err != nil {
		return placed{}, placeError(err)
	}
	return pl, nil
}

// redispatch tries another target, or ends the request when there is none.
func (r *engineRun) redispatch() (attempt.Action, error) {
	if err := r.afterLoss(); err != nil {
		return attempt.Action{}, r.final(err)
	}
	r.e.place.Exclude = r.at.target
	r.release()
	if (r.s.clock.now() >= r.e.due && !r.e.wrote) || !r.s.budget.repeat() {
		return r.stream.NoTarget(), nil
	}
	act, err := r.dispatch()
	var e *openai.Error
	if errors.As(err, &e) && e.Code == openai.CodeQuarantined {
		return act, r.final(err)
	}
	if err != nil && (r.e.wrote || r.stream.Outcome() != attempt.NotRun) {
		return r.stream.NoTarget(), nil
	}
	return act, err
}

func (r *engineRun) request() attemptRequest {
	e := r.e
	return attemptRequest{
		attempt: r.id, target: r.at.target, address: r.at.address, method: http.MethodPost,
		path: e.r.URL.Path, account: e.account.Name, version: r.at.version, priority: e.route.Priority,
		header: http.Header{"Content-Type": {"application/json"}}, body: e.req.Body, once: !e.route.Idempotent,
	}
}

// openLeg prepares the context of a connection: it ends with the caller, after
// a silence, and when the target is found to answer no questions any more.
func (r *engineRun) openLeg() {
	r.closeLeg()
	ctx, cancel := context.WithCancelCause(r.e.r.Context())
	stop := r.pool.watch(r.at.target, func() { cancel(errTargetDown) })
	r.ctx, r.cancel = ctx, func(err error) { stop(); cancel(err) }
	r.idle = time.AfterFunc(r.firstByteIn(), func() { cancel(context.DeadlineExceeded) })
}

// firstByteIn is the time left for the first byte of the answer.
func (r *engineRun) firstByteIn() time.Duration {
	if r.e.wrote {
		return chunkIdle
	}
	return max(r.e.due-r.s.clock.now(), time.Millisecond)
}

func (r *engineRun) closeLeg() {
	if r.cancel == nil {
		return
	}
	r.idle.Stop()
	r.cancel(nil)
	if r.resp != nil {
		r.resp.Body.Close()
		r.resp = nil
	}
	r.cancel = nil
}

// sendFailed tells the state machine that no answer came.
func (r *engineRun) sendFailed(err error) attempt.Action {
	logline.Error(err, "attempt_failed", "request", r.e.id, "attempt", r.id, "target", r.at.target)
	r.s.metrics.attempt(r.e.pool.Name, "unreachable")
	r.lost(r.brokenResult())
	if r.e.r.Context().Err() != nil {
		return r.stream.Abort()
	}
	r.unreachable(err)
	var se *sendError
	if errors.As(err, &se) && se.outcome == openai.NotRun {
		return r.stream.Broke(r.leg, attempt.CauseDial)
	}
	r.stream.Sent(r.leg)
	r.sent = true
	return r.stream.Broke(r.leg, attempt.CauseReset)
}

// opened takes the head of an answer.
func (r *engineRun) opened(resp *http.Response) attempt.Action {
	r.resp = resp
	if inc := resp.Header.Get(headerIncarnation); inc != "" {
		r.incarnation = inc
	}
	if resp.StatusCode != http.StatusOK {
		return r.rejected(resp)
	}
	r.events = sse.NewReader(resp.Body, 0, 0)
	return r.stream.Opened(r.s.clock.now(), r.leg, attempt.Head{
		Attempt:     resp.Header.Get(headerRequestID),
		Incarnation: resp.Header.Get(headerIncarnation),
		Version:     resp.Header.Get(headerVersion),
	})
}

// rejected takes an answer other than 200.
func (r *engineRun) rejected(resp *http.Response) attempt.Action {
	r.s.metrics.attempt(r.e.pool.Name, "refused")
	r.sent = false
	r.refused = targetRefusal(resp)
	var refused *openai.Error
	notRun := errors.As(r.refused, &refused) && refused.Outcome == openai.NotRun
	r.lost(resultOf(notRun))
	if notRun {
		return r.stream.Rejected(r.leg)
	}
	return r.stream.Broke(r.leg, attempt.CauseRejected)
}

// read takes the next part of the answer.
func (r *engineRun) read() attempt.Action {
	if !r.e.req.Stream {
		return r.readWhole()
	}
	ev, err := r.events.Next()
	if err != nil {
		return r.broke(err)
	}
	r.idle.Reset(chunkIdle)
	r.prefilled()
	if u, ok := openai.UsageOf(ev.Data); ok {
		r.e.usage = u
	}
	return r.stream.Event(r.s.clock.now(), r.leg, ev)
}

// readWhole reads an answer without a stream. Nothing of it goes out before
// it is whole.
func (r *engineRun) readWhole() attempt.Action {
	body, err := io.ReadAll(io.LimitReader(r.resp.Body, maxAnswerBodyBytes))
	if err != nil {
		return r.broke(err)
	}
	r.e.usage, _ = openai.UsageOf(body)
	return r.stream.Answer(r.leg, body)
}

// broke tells the state machine that the leg ended early.
func (r *engineRun) broke(err error) attempt.Action {
	r.lost(r.brokenResult())
	if r.e.r.Context().Err() != nil {
		return r.stream.Abort()
	}
	cause := attempt.CauseReset
	switch {
	case errors.Is(err, io.EOF):
		cause = attempt.CauseClosed
	case errors.Is(context.Cause(r.ctx), context.DeadlineExceeded):
		cause = attempt.CauseIdle
	case errors.IsAny(err, sse.ErrMalformed, sse.ErrTooLarge):
		cause = attempt.CauseMalformed
	}
	logline.Error(err, "stream_broke", "request", r.e.id, "attempt", r.id, "target", r.at.target, "cause", cause)
	r.s.metrics.attempt(r.e.pool.Name, "broken")
	return r.stream.Broke(r.leg, cause)
}

// resume asks the same target to go on with the stream.
func (r *engineRun) resume(act attempt.Action) attempt.Action {
	r.openLeg()
	r.leg = r.stream.Resumed(r.s.clock.now())
	resp, err := r.s.targets.resume(r.ctx, r.request(), act.LastSeq)
	if err != nil {
		r.lost(r.brokenResult())
		r.unreachable(err)
		return r.stream.Broke(r.leg, attempt.CauseReset)
	}
	if resp.StatusCode != http.StatusOK {
		r.resp = resp
		r.lost(r.brokenResult())
		return r.stream.Broke(r.leg, attempt.CauseUnknownStream)
	}
	return r.opened(resp)
}

// cancelAttempt tells a target to stop working on an attempt.
func (r *engineRun) cancelAttempt(ref attempt.Ref) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	if address, ok := r.pool.addressOf(ref.Target); ok {
		r.s.targets.cancel(ctx, address, ref.Attempt)
	}
}

// prefilled tells the pool that the first token came: the target has done the
// work and holds the prompt's pieces.
func (r *engineRun) prefilled() {
	if !r.counted {
		r.counted = true
		r.pool.served(r.at)
	}
}

// lost tells the pool that the attempt ended before its first token, and what
// that says of the target.
func (r *engineRun) lost(result overload.Result) {
	if !r.counted {
		r.counted = true
		r.pool.lost(r.at, result)
	}
}

// brokenResult is what an exchange that broke says of the target: nothing when
// the caller left.
func (r *engineRun) brokenResult() overload.Result {
	if r.e.r.Context().Err() != nil {
		return overload.Cancelled
	}
	return overload.Failed
}

// unreachable tells the pool when no connection to the target was made.
func (r *engineRun) unreachable(err error) {
	if r.e.r.Context().Err() == nil && outcomeOfSend(err) == openai.NotRun {
		r.pool.open(r.at.target)
	}
}

// abandon ends an attempt that ended in no other way: one left open would keep
// a place at a target that starts slowly for ever.
func (r *engineRun) abandon() {
	if r.id != "" {
		r.lost(overload.Cancelled)
	}
}

func (r *engineRun) finished() error {
	r.s.metrics.attempt(r.e.pool.Name, "answered")
	r.s.metrics.answered(r.e.account.Name, r.e.pool.Name)
	r.prefilled()
	if r.e.usage.PromptTokens > 0 {
		r.pool.counted(r.at, r.e.usage.PromptTokensDetails.CachedTokens)
	}
	return nil
}

// failed ends the request with an error: an event when a part of the answer
// is out, else a whole answer.
func (r *engineRun) failed(act attempt.Action) error {
	if err := r.afterLoss(); err != nil {
		return r.final(err)
	}
	e := &openai.Error{
		Status: http.StatusBadGateway, Code: openai.CodeTargetFailed, Outcome: openai.Outcome(act.Outcome),
		Message: "no target gave the whole answer: " + string(act.Cause), RetryAfter: time.Second, RequestID: r.e.id,
	}
	var refused *openai.Error
	if errors.As(r.refused, &refused) && act.Cause == attempt.CauseRejected {
		e = refused
	}
	if act.Cause == attempt.CauseIdle {
		e.Status, e.Code = http.StatusGatewayTimeout, openai.CodeDeadline
	}
	if r.e.wrote {
		e.Code = openai.CodeStreamBroken
	}
	return r.final(e)
}

// final ends a stream whose head is out with an error event.
func (r *engineRun) final(err error) error {
	var e *openai.Error
	if r.e.wrote && errors.As(err, &e) {
		answer := *e
		answer.RequestID = r.e.id
		r.writeError(&answer)
	}
	return err
}
