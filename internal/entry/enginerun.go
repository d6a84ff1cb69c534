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
		RequestID: e.id, Idempotent: e.route.Idempotent, MaxDispatches: maxAttempts, IdleTimeout: chunkIdle,
	})
	defer r.closeLeg()
	defer r.abandon()
	err := r.loop()
	s.poison.ended(e.id, err == nil)
	return err
}

func (r *engineRun) loop() error {
	r.s.budget.AddRequest()
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
	r.stream.SendStarted(r.leg)
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
	if (r.s.clock.now() >= r.e.due && !r.e.wrote) || !r.s.budget.TakeRetry() {
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
	r.s.metrics.countAttempt(r.e.pool.Name, "answered")
	r.s.metrics.countAnswer(r.e.account.Name, r.e.pool.Name)
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
