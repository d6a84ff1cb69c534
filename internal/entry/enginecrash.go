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
	crashProbeTimeout = 300 * time.Millisecond
	// crashProbeEvery is the wait before the next question.
	crashProbeInterval = 10 * time.Millisecond
)

// vet asks whether the request may be dispatched. The error is the answer to a
// request that has crashed too many targets, or that is suspected to and found
// nobody to allow it another one.
func (r *engineRun) checkPoison() error {
	r.unregistered = r.server.poison.noSuspects()
	if r.unregistered {
		return nil
	}
	ctx, cancel := context.WithTimeout(r.call.r.Context(), max(r.call.deadline-r.server.clock.now(), permitTimeout/2))
	defer cancel()
	d := r.server.poison.admit(ctx, r.call.id, r.call.fingerprint(), r.call.pool.Name, r.pool.availableTargets(r.call.placement.Exclude))
	r.isolatedTarget = d.Target
	switch d.Verdict {
	case poison.Quarantined:
		return quarantineError()
	case poison.Refused:
		return &openai.Error{
			Status: http.StatusServiceUnavailable, Code: openai.CodeOverloaded, Outcome: r.outcome(),
			Message: "this request may crash its target and found none to run on alone", RetryAfter: time.Second,
		}
	}
	return nil
}

// quarantined is the final answer to a request that crashes its targets.
func quarantineError() *openai.Error {
	return &openai.Error{
		Status: http.StatusUnprocessableEntity, Code: openai.CodeQuarantined, Outcome: openai.MayHaveRun,
		Message: "this request has crashed the targets that ran it and is not run again",
	}
}

// release gives a target back that the request was to run on alone, and leaves
// it out from then on. Targets that crash next to each other are given out
// before all instances know: without another target the stream of an innocent
// request would end there.
func (r *engineRun) releaseIsolatedTarget() {
	if r.isolatedTarget == "" {
		return
	}
	r.server.poison.ended(r.call.id, false)
	r.call.placement.Exclude = r.isolatedTarget
	r.isolatedTarget, r.admitted = "", false
}

// outcome is whether the request has run so far.
func (r *engineRun) outcome() openai.Outcome { return openai.Outcome(r.stream.Outcome()) }

// afterLoss finds out whether the leg's target was lost with the request. It
// returns when the peers know, so that the caller cannot send a request that
// crashes targets to an instance that has not heard of it. The error is the
// final answer to such a request.
func (r *engineRun) reportTargetLoss() error {
	if !r.mayBeRunning {
		return nil
	}
	r.mayBeRunning = false
	if !r.targetLost() {
		return nil
	}
	r.pool.markProcessEnded(r.placed.target, r.incarnation)
	crash := poison.CrashID{Target: r.placed.target, Incarnation: r.incarnation}
	if r.unregistered {
		r.server.poison.registerRunning(r.call.id, r.call.fingerprint(), r.call.pool.Name, r.placed.target, r.pool.availableTargets(r.placed.target))
	}
	r.admitted = false
	if d := r.server.poison.reportCrash(r.call.r.Context(), r.call.id, crash); d.Verdict == poison.Quarantined {
		return quarantineError()
	}
	return nil
}

// fingerprint names what the request asks for.
func (e *engineCall) fingerprint() poison.Fingerprint {
	if !e.fingerprinted {
		e.fingerprinted, e.cachedFingerprint = true, poison.FingerprintOf(e.account.Name, e.r.URL.Path, e.body)
	}
	return e.cachedFingerprint
}

// targetLost reports that the process which ran the request is gone: nothing
// listens at its address, or another incarnation answers there. One that was
// gone before the request came is not blamed on it: the head of the answer says
// which process ran it, the last report may still be of the one before. A
// target that does not answer in time may be paused; that is no crash.
func (r *engineRun) targetLost() bool {
	ctx, cancel := context.WithTimeout(context.Background(), crashProbeTimeout)
	defer cancel()
	// The sockets of a process that ends are closed one by one: a question to
	// it may be cut off rather than refused. Taken for a sign of life, its
	// crash would count for nobody, and the request take one target more. So
	// only an answer, a refusal or the time ends the asking.
	for ctx.Err() == nil {
		report, err := r.server.pools.poller.fetchLoad(ctx, r.placed.address)
		if err == nil {
			return report.Incarnation != r.incarnation
		}
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" && !op.Timeout() {
			return true
		}
		sleep(ctx, crashProbeInterval)
	}
	return false
}
