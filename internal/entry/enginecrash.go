package entry

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/openai"
	"github.com/mastictray/mastictray/internal/poison"
)

const (
	// crashProbe bounds the questions to a target that broke an answer off.
	crashProbe = 300 * time.Millisecond
	// crashProbeEvery is the wait before the next question.
	crashProbeEvery = 10 * time.Millisecond
)

// vet asks whether the request may be dispatched. The error is the answer to a
// request that has crashed too many targets, or that is suspected to and found
// nobody to allow it another one.
func (r *engineRun) vet() error {
	r.unvetted = r.s.poison.quiet()
	if r.unvetted {
		return nil
	}
	ctx, cancel := context.WithTimeout(r.e.r.Context(), max(r.e.due-r.s.clock.now(), permitWait/2))
	defer cancel()
	d := r.s.poison.admit(ctx, r.e.id, r.e.fingerprint(), r.e.pool.Name, r.pool.targets(r.e.place.Exclude))
	r.isolated = d.Target
	switch d.Verdict {
	case poison.Quarantined:
		return quarantined()
	case poison.Refused:
		return &openai.Error{
			Status: http.StatusServiceUnavailable, Code: openai.CodeOverloaded, Outcome: r.outcome(),
			Message: "this request may crash its target and found none to run on alone", RetryAfter: time.Second,
		}
	}
	return nil
}

// quarantined is the final answer to a request that crashes its targets.
func quarantined() *openai.Error {
	return &openai.Error{
		Status: http.StatusUnprocessableEntity, Code: openai.CodeQuarantined, Outcome: openai.MayHaveRun,
		Message: "this request has crashed the targets that ran it and is not run again",
	}
}

// release gives a target back that the request was to run on alone, and leaves
// it out from then on. Targets that crash next to each other are given out
// before all instances know: without another target the stream of an innocent
// request would end there.
func (r *engineRun) release() {
	if r.isolated == "" {
		return
	}
	r.s.poison.ended(r.e.id, false)
	r.e.place.Exclude = r.isolated
	r.isolated, r.vetted = "", false
}

// outcome is whether the request has run so far.
func (r *engineRun) outcome() openai.Outcome { return openai.Outcome(r.stream.Outcome()) }

// afterLoss finds out whether the leg's target was lost with the request. It
// returns when the peers know, so that the caller cannot send a request that
// crashes targets to an instance that has not heard of it. The error is the
// final answer to such a request.
func (r *engineRun) afterLoss() error {
	if !r.sent {
		return nil
	}
	r.sent = false
	if !r.targetLost() {
		return nil
	}
	r.pool.gone(r.at.target, r.incarnation)
	crash := poison.CrashID{Target: r.at.target, Incarnation: r.incarnation}
	if r.unvetted {
		r.s.poison.running(r.e.id, r.e.fingerprint(), r.e.pool.Name, r.at.target, r.pool.targets(r.at.target))
	}
	r.vetted = false
	if d := r.s.poison.crashed(r.e.r.Context(), r.e.id, crash); d.Verdict == poison.Quarantined {
		return quarantined()
	}
	return nil
}

// fingerprint names what the request asks for.
func (e *engineCall) fingerprint() poison.Fingerprint {
	if !e.printed {
		e.printed, e.print = true, poison.FingerprintOf(e.account.Name, e.r.URL.Path, e.body)
	}
	return e.print
}

// targetLost reports that the process which ran the request is gone: nothing
// listens at its address, or another incarnation answers there. One that was
// gone before the request came is not blamed on it: the head of the answer says
// which process ran it, the last report may still be of the one before. A
// target that does not answer in time may be paused; that is no crash.
func (r *engineRun) targetLost() bool {
	ctx, cancel := context.WithTimeout(context.Background(), crashProbe)
	defer cancel()
	// The sockets of a process that ends are closed one by one: a question to
	// it may be cut off rather than refused. Taken for a sign of life, its
	// crash would count for nobody, and the request take one target more. So
	// only an answer, a refusal or the time ends the asking.
	for ctx.Err() == nil {
		report, err := r.s.pools.poller.ask(ctx, r.at.address)
		if err == nil {
			return report.Incarnation != r.incarnation
		}
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" && !op.Timeout() {
			return true
		}
		sleep(ctx, crashProbeEvery)
	}
	return false
}
