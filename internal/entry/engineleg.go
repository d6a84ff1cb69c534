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
	"github.com/mastictray/mastictray/internal/sse"
)

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
	r.idle = time.AfterFunc(r.patience(), func() { cancel(context.DeadlineExceeded) })
}

// patience is the longest wait for the next part of the answer: for the first
// one until the deadline.
func (r *engineRun) patience() time.Duration {
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
	r.s.metrics.countAttempt(r.e.pool.Name, "unreachable")
	r.lost(r.brokenResult())
	if r.e.r.Context().Err() != nil {
		return r.stream.Abort()
	}
	r.unreachable(err)
	var se *sendError
	if errors.As(err, &se) && se.outcome == openai.NotRun {
		return r.stream.ConnectionFailed(r.leg, attempt.CauseDial)
	}
	r.stream.SendStarted(r.leg)
	r.sent = true
	return r.stream.ConnectionFailed(r.leg, attempt.CauseReset)
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
	return r.stream.ResponseStarted(r.s.clock.now(), r.leg, attempt.ResponseHead{
		Attempt:     resp.Header.Get(headerRequestID),
		Incarnation: resp.Header.Get(headerIncarnation),
		Version:     resp.Header.Get(headerVersion),
	})
}

// rejected takes an answer other than 200.
func (r *engineRun) rejected(resp *http.Response) attempt.Action {
	r.s.metrics.countAttempt(r.e.pool.Name, "refused")
	r.sent = false
	r.refused = targetRefusal(resp)
	var refused *openai.Error
	notRun := errors.As(r.refused, &refused) && refused.Outcome == openai.NotRun
	r.lost(resultOf(notRun))
	if notRun {
		return r.stream.Rejected(r.leg)
	}
	return r.stream.ConnectionFailed(r.leg, attempt.CauseRejected)
}

// read takes the next part of the answer.
func (r *engineRun) read() attempt.Action {
	if !r.e.req.Stream {
		return r.readWhole()
	}
	// The timer runs only while the target is waited for. A caller that reads
	// slowly would else have its stream broken off for the target's silence.
	r.idle.Reset(r.patience())
	ev, err := r.events.Next()
	r.idle.Stop()
	if err != nil {
		return r.broke(err)
	}
	r.prefilled()
	if u, ok := openai.ParseUsage(ev.Data); ok {
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
	r.e.usage, _ = openai.ParseUsage(body)
	return r.stream.FullResponse(r.leg, body)
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
	r.s.metrics.countAttempt(r.e.pool.Name, "broken")
	return r.stream.ConnectionFailed(r.leg, cause)
}

// resume asks the same target to go on with the stream.
func (r *engineRun) resume(act attempt.Action) attempt.Action {
	r.openLeg()
	r.leg = r.stream.BeginResume(r.s.clock.now())
	resp, err := r.s.targets.resume(r.ctx, r.request(), act.LastSeq)
	if err != nil {
		r.lost(r.brokenResult())
		r.unreachable(err)
		return r.stream.ConnectionFailed(r.leg, attempt.CauseReset)
	}
	if resp.StatusCode != http.StatusOK {
		r.resp = resp
		r.lost(r.brokenResult())
		return r.stream.ConnectionFailed(r.leg, attempt.CauseUnknownStream)
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
