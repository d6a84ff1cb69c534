package attempt

import (
	"slices"
	"time"
)

// Policy says what may be done for one request. Zero fields take defaults.
type Policy struct {
	// RequestID is the request's id; the caller sees it in each chunk.
	RequestID string
	// Idempotent requests may be sent again after a byte was sent.
	Idempotent bool
	// MaxDispatches bounds the targets tried, the first included; default 3.
	// Targets that could not be connected to do not count, up to a bound of
	// their own: nothing of the request reached them, and after a crash
	// several may be gone that this instance has not missed yet.
	MaxDispatches int
	// MaxResumes bounds the resumptions over all attempts; default 3.
	MaxResumes int
	// IdleTimeout breaks a connection that brings nothing; default 30s.
	IdleTimeout time.Duration
}

const (
	defaultMaxDispatches = 3
	// maxUnreached bounds the targets that did not take a connection.
	maxUnreached       = 6
	defaultMaxResumes  = 3
	defaultIdleTimeout = 30 * time.Second
)

// ResponseHead is the head of a target's answer.
type ResponseHead struct {
	// Attempt, Incarnation and Version are the X-Request-Id,
	// X-Engine-Incarnation and X-Weights-Version headers.
	Attempt     string
	Incarnation string
	Version     string
}

// Stream is one request on its way. It is not safe for concurrent use.
//
// Each connection to a target is a leg with a number. What arrives for an
// earlier leg is late and changes nothing.
type Stream struct {
	p   Policy
	leg int
	// attempt and target are those of the present leg.
	attempt   string
	target    string
	tried     []string
	unreached int // dispatches whose target took no connection
	resumes   int
	// sent: a byte of the present attempt may have reached its target.
	// mayRun: the same of an earlier attempt.
	sent   bool
	mayRun bool
	open   bool
	over   bool
	// incarnation and version are those of the present attempt's target.
	incarnation string
	version     string
	// next is the sequence number expected from the target; hash runs over
	// the seen chunks of the present attempt.
	next int64
	seen int64
	hash uint64
	// relayed and relayedHash are those of the chunks the caller has.
	relayed     int64
	relayedHash uint64
	passed      bool
	last        time.Duration
	buf         []byte
}

// NewStream makes the state for one request.
func NewStream(p Policy) *Stream {
	if p.MaxDispatches <= 0 {
		p.MaxDispatches = defaultMaxDispatches
	}
	if p.MaxResumes <= 0 {
		p.MaxResumes = defaultMaxResumes
	}
	if p.IdleTimeout <= 0 {
		p.IdleTimeout = defaultIdleTimeout
	}
	return &Stream{p: p}
}

// Dispatch begins a new attempt at a target, before any byte is sent, and
// returns its leg. The attempt id must be unique.
func (s *Stream) Dispatch(now time.Duration, attempt, target string) (leg int) {
	s.mayRun = s.mayRun || s.sent
	s.attempt, s.target, s.sent = attempt, target, false
	s.tried = append(s.tried, target)
	s.incarnation, s.version = "", ""
	s.next, s.seen, s.hash = 0, 0, 0
	return s.newLeg(now)
}

// BeginResume begins a new leg of the same attempt, after a BeginResume action.
func (s *Stream) BeginResume(now time.Duration) (leg int) {
	return s.newLeg(now)
}

func (s *Stream) newLeg(now time.Duration) int {
	s.leg++
	s.open, s.last = true, now
	return s.leg
}

// SendStarted tells that a byte of the request may reach the target from now on.
// Call it before the first write, not after: a write that fails may still
// have sent something.
func (s *Stream) SendStarted(leg int) {
	if s.current(leg) {
		s.sent = true
	}
}

// BytesRelayed tells that bytes of a plain service's answer have gone to the
// caller: from then on nothing may be replayed.
func (s *Stream) BytesRelayed(leg int) {
	if s.current(leg) {
		s.passed = true
	}
}

func (s *Stream) current(leg int) bool {
	return s.open && !s.over && leg == s.leg
}

// ResponseStarted takes the head of the target's answer.
func (s *Stream) ResponseStarted(now time.Duration, leg int, h ResponseHead) Action {
	if !s.current(leg) {
		return Action{}
	}
	s.last = now
	switch {
	case h.Attempt != s.attempt:
		return s.breakUp(CauseCrossed)
	case s.incarnation != "" && h.Incarnation != s.incarnation:
		// A restarted engine knows nothing of the attempt: what it sends
		// under the attempt's id is no continuation.
		return s.breakUp(CauseIncarnation)
	case s.version != "" && h.Version != s.version:
		return s.breakUp(CauseVersion)
	}
	s.incarnation, s.version = h.Incarnation, h.Version
	return Action{}
}

// Tick breaks a leg that has brought nothing for the idle timeout.
func (s *Stream) Tick(now time.Duration) Action {
	if !s.open || s.over || now-s.last < s.p.IdleTimeout {
		return Action{}
	}
	return s.breakUp(CauseIdle)
}

// ConnectionFailed tells that a leg ended before its answer did: also a clean end of
// the connection without the closing event.
func (s *Stream) ConnectionFailed(leg int, cause Cause) Action {
	if !s.current(leg) {
		return Action{}
	}
	return s.breakUp(cause)
}

// Rejected tells that the target refused the request as a whole and says
// that it did not run, such as a 409 for a wrong version.
func (s *Stream) Rejected(leg int) Action {
	if !s.current(leg) {
		return Action{}
	}
	s.sent = false
	return s.breakUp(CauseRejected)
}

// NoTarget answers a Redispatch that can't be done.
func (s *Stream) NoTarget() Action {
	if s.over {
		return Action{}
	}
	return s.fail(CauseNoTarget)
}

// Abort ends the request because its caller has gone.
func (s *Stream) Abort() Action {
	if s.over {
		return Action{}
	}
	return s.fail(CauseCaller)
}

// breakUp closes the leg and finds the next best thing to do. The order is by
// cost: going on at the same engine recomputes nothing.
func (s *Stream) breakUp(cause Cause) Action {
	s.open = false
	if cause == CauseDial && !s.sent {
		s.unreached++
	}
	switch {
	case s.mayResume(cause):
		s.resumes++
		return Action{Kind: Resume, Target: s.target, Attempt: s.attempt, LastSeq: s.next - 1}
	case s.mayRedispatch():
		return Action{Kind: Redispatch, Tried: slices.Clone(s.tried), Cancel: s.running(cause)}
	}
	return s.fail(cause)
}

// mayResume: only the engine incarnation that began the attempt can go on
// with it. A foreign chunk says nothing about the engine's own stream.
func (s *Stream) mayResume(cause Cause) bool {
	switch cause {
	case CauseIncarnation, CauseVersion, CauseUnknownStream, CauseDiverged, CauseRejected:
		return false
	case CauseDial:
		// The engine may be cut off for a moment only. Waiting for it is
		// worth it where there is no other way.
		if s.p.Idempotent {
			return false
		}
	}
	return s.incarnation != "" && s.resumes < s.p.MaxResumes
}

// mayRedispatch: a request that may not be repeated is sent again only if no
// byte of it may have reached any target.
func (s *Stream) mayRedispatch() bool {
	if len(s.tried)-min(s.unreached, maxUnreached) >= s.p.MaxDispatches || s.passed {
		return false
	}
	return s.p.Idempotent || !s.sent && !s.mayRun
}

// running is the attempt to cancel when it is left behind.
func (s *Stream) running(cause Cause) *Ref {
	if !s.sent || cause == CauseUnknownStream || cause == CauseIncarnation {
		return nil
	}
	return &Ref{Attempt: s.attempt, Target: s.target}
}

func (s *Stream) fail(cause Cause) Action {
	a := Action{Kind: EndError, Cause: cause, Outcome: s.Outcome(), Partial: s.relayed > 0 || s.passed}
	if s.attempt != "" {
		a.Cancel = s.running(cause)
	}
	s.open, s.over = false, true
	return a
}

// Outcome is what a failure now would have to say about the request.
func (s *Stream) Outcome() Outcome {
	if s.sent || s.mayRun {
		return MayHaveRun
	}
	return NotRun
}
