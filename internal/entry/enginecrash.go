package entry

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/dispatch"
	"github.com/mastictray/mastictray/internal/openai"
	"github.com/mastictray/mastictray/internal/poison"
)

const (
	// crashProbeTimeout bounds the time spent on finding out whether a target
	// whose connection broke has crashed.
	crashProbeTimeout = 300 * time.Millisecond
	// crashProbeInterval is the wait between two probes.
	crashProbeInterval = 10 * time.Millisecond
)

// checkPoison checks with the poison registry whether the request may be dispatched.
// It returns an error if the request is quarantined, or if it is a suspect and
// got no permit to run on a target in time.
func (r *engineRun) checkPoison() error {
	r.unregistered = r.server.poison.noSuspects()
	if r.unregistered {
		return nil
	}
	targets := r.pool.availableTargets(r.call.placement.Exclude)
	if rest, withdrawn := r.pool.withdrawn(time.Second); len(targets) == 0 && withdrawn {
		// A suspect would wait for a permit that no target can be named for.
		return queueRefusal(dispatch.ReasonNoTarget, rest)
	}
	ctx, cancel := context.WithTimeout(r.call.r.Context(), max(r.call.deadline-r.server.clock.now(), permitTimeout/2))
	defer cancel()
	d := r.server.poison.admit(ctx, r.call.id, r.call.fingerprint(), r.call.pool.Name, targets)
	r.isolatedTarget = d.Target
	switch d.Verdict {
	case poison.Quarantined:
		return quarantineError()
	case poison.Refused:
		return &openai.Error{
			Status: http.StatusServiceUnavailable, Code: openai.CodeOverloaded, Outcome: r.outcome(),
			Message: "this request may crash its target and no target was available to run it in isolation", RetryAfter: time.Second,
		}
	}
	return nil
}

// quarantineError is the final error of a quarantined request.
func quarantineError() *openai.Error {
	return &openai.Error{
		Status: http.StatusUnprocessableEntity, Code: openai.CodeQuarantined, Outcome: openai.MayHaveRun,
		Message: "this request has crashed the targets that ran it and is not run again",
	}
}

// releaseIsolatedTarget returns the permit for the target on which the request
// was to run in isolation, and excludes that target from further attempts. When
// several targets crash at about the same time, permits may still be granted
// for targets that are already down. Without a second choice, a harmless
// request would fail in that case.
func (r *engineRun) releaseIsolatedTarget() {
	if r.isolatedTarget == "" {
		return
	}
	r.server.poison.ended(r.call.id, false)
	r.call.placement.Exclude = r.isolatedTarget
	r.isolatedTarget, r.admitted = "", false
}

// outcome returns what is known so far about whether the request has run.
func (r *engineRun) outcome() openai.Outcome { return openai.Outcome(r.stream.Outcome()) }

// reportTargetLoss checks whether the current target crashed while it may have
// been running the request, and if so reports the crash. It returns once the
// peers have acknowledged the crash, so that the caller cannot resend a poison
// request to an instance that does not know of the crash yet. It returns an
// error if the request is now quarantined.
func (r *engineRun) reportTargetLoss() error {
	if !r.mayBeRunning {
		return nil
	}
	r.mayBeRunning = false
	if !r.targetLost() {
		return nil
	}
	r.pool.markProcessEnded(r.placed.target, r.incarnation)
	r.server.pieces.Lost(r.server.clock.now(), r.placed.target, &r.answer, r.call.pieces())
	crash := poison.CrashID{Target: r.placed.target, Incarnation: r.incarnation}
	if r.unregistered {
		r.server.poison.registerRunning(r.call.id, r.call.fingerprint(), r.call.pool.Name, r.placed.target, r.pool.availableTargets(r.placed.target))
	}
	r.admitted = false
	if d := r.server.poison.reportCrash(r.call.r.Context(), r.call.id, crash); d.Verdict == poison.Quarantined || r.probesPiece {
		return quarantineError()
	}
	return nil
}

// fingerprint returns the fingerprint of the request's content.
func (e *engineCall) fingerprint() poison.Fingerprint {
	if !e.fingerprinted {
		e.fingerprinted, e.cachedFingerprint = true, poison.FingerprintOf(e.account.Name, e.r.URL.Path, e.body)
	}
	return e.cachedFingerprint
}

// targetLost reports whether the process that ran the request has ended: nothing
// listens at its address, or another incarnation answers there. The incarnation
// is taken from the head of the response if there is one, since the last load
// report may be from an earlier process, whose end must not be blamed on this
// request. A target that does not answer in time may only be paused, and does
// not count as crashed.
func (r *engineRun) targetLost() bool {
	ctx, cancel := context.WithTimeout(context.Background(), crashProbeTimeout)
	defer cancel()
	// While a process ends, its sockets are closed one by one, so the connection
	// of a probe may be reset instead of refused. If a reset counted as a sign
	// that the process is alive, the crash would not be attributed to any
	// request, and a poison request could crash one more target. Probes are
	// therefore repeated until there is a response, a refused connection or the
	// timeout.
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
