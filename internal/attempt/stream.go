package attempt

import (
	"slices"
	"time"
)

// Policy limits what may be done for one request. Limits that are zero take defaults.
type Policy struct {
	// RequestID is the id that the caller gets in each chunk.
	RequestID string
	// Idempotent requests may be sent again after a byte may have reached a target.
	Idempotent bool
	// MaxDispatches bounds the number of targets tried, including the first; the
	// default is 3. Failures to connect do not count, up to maxUncountedDialFailures:
	// nothing of the request reached those targets, and after a crash there may be
	// several that this instance has not yet found to be down.
	MaxDispatches int
	// MaxResumes bounds the number of resumes over all attempts; the default is 3.
	MaxResumes int
	// IdleTimeout is the time without data after which a connection counts as failed;
	// the default is 30s.
	IdleTimeout time.Duration
}

const (
	defaultMaxDispatches = 3
	// maxUncountedDialFailures is the number of failures to connect that do not count
	// as dispatches.
	maxUncountedDialFailures = 6
	defaultMaxResumes        = 3
	defaultIdleTimeout       = 30 * time.Second
)

// ResponseHead holds the headers of a target's response that the relay depends on.
type ResponseHead struct {
	// Attempt, Incarnation, Version and Software are the X-Request-Id,
	// X-Engine-Incarnation, X-Weights-Version and X-Engine-Software headers.
	Attempt     string
	Incarnation string
	Version     string
	Software    string
}

// Stream is the state of one request and its response. It is not safe for concurrent use.
//
// The connections to targets are numbered in the order in which they were begun. Whatever
// arrives on an earlier connection than the current one is ignored.
type Stream struct {
	policy Policy
	conn   int // number of the current connection
	// attempt and target belong to the current connection.
	attempt      string
	target       string
	tried        []string
	dialFailures int // dispatches that failed to connect
	resumes      int
	// sent is set if a byte of the current attempt may have reached its target,
	// sentEarlier if one of an earlier attempt may have.
	sent        bool
	sentEarlier bool
	connected   bool
	finished    bool
	// incarnation and version are those of the current attempt's target, empty until
	// its response has started.
	incarnation string
	version     string
	// software is that of the engine whose response has started last, relayedSoftware that
	// of the one whose chunk was relayed first.
	software, relayedSoftware string
	// nextSeq is the expected sequence number. received and receivedHash are the number
	// and the hash of the current attempt's chunks.
	nextSeq      int64
	received     int64
	receivedHash uint64
	// relayed and relayedHash are the number and the hash of the chunks that were
	// relayed to the caller.
	relayed      int64
	relayedHash  uint64
	bytesRelayed bool
	lastReceived time.Duration
	buf          []byte
}

// NewStream returns the state of a new request.
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
	return &Stream{policy: p}
}

// Dispatch begins a new attempt at a target and returns the number of its connection. It
// must be called before any byte is sent, with a unique attempt id.
func (s *Stream) Dispatch(now time.Duration, attempt, target string) (conn int) {
	s.sentEarlier = s.sentEarlier || s.sent
	s.attempt, s.target, s.sent = attempt, target, false
	s.tried = append(s.tried, target)
	s.incarnation, s.version = "", ""
	s.nextSeq, s.received, s.receivedHash = 0, 0, 0
	return s.startConnection(now)
}

// BeginResume begins a new connection of the same attempt after the action Resume and
// returns its number.
func (s *Stream) BeginResume(now time.Duration) (conn int) {
	return s.startConnection(now)
}

func (s *Stream) startConnection(now time.Duration) int {
	s.conn++
	s.connected, s.lastReceived = true, now
	return s.conn
}

// SendStarted records that a byte of the request may reach the target from now on. It must
// be called before the first write, since a write that fails may still have sent data.
func (s *Stream) SendStarted(conn int) {
	if s.current(conn) {
		s.sent = true
	}
}

// BytesRelayed records that a part of a service pool's response was sent to the caller.
// From then on the request can't be sent to another target.
func (s *Stream) BytesRelayed(conn int) {
	if s.current(conn) {
		s.bytesRelayed = true
	}
}

// current reports whether conn is the current connection and still open.
func (s *Stream) current(conn int) bool {
	return s.connected && !s.finished && conn == s.conn
}

// ResponseStarted handles the head of the target's response.
func (s *Stream) ResponseStarted(now time.Duration, conn int, h ResponseHead) Action {
	if !s.current(conn) {
		return Action{}
	}
	s.lastReceived = now
	switch {
	case h.Attempt != s.attempt:
		return s.failConnection(CauseCrossed)
	case s.incarnation != "" && h.Incarnation != s.incarnation:
		// A restarted engine has no state of the attempt, so what it sends with
		// the attempt's id is not the continuation of the response.
		return s.failConnection(CauseIncarnationChanged)
	case s.version != "" && h.Version != s.version:
		return s.failConnection(CauseVersionChanged)
	case s.relayed > 0 && h.Software != s.relayedSoftware:
		// What it sends may agree with the chunks relayed so far and not with the rest.
		return s.failConnection(CauseSoftwareChanged)
	}
	s.incarnation, s.version, s.software = h.Incarnation, h.Version, h.Software
	return Action{}
}

// RequiredSoftware returns the software of the engines at which the response may go on; ok is
// false while that may be any.
func (s *Stream) RequiredSoftware() (software string, ok bool) {
	return s.relayedSoftware, s.relayed > 0
}

// Tick fails the current connection if no data arrived for the idle timeout.
func (s *Stream) Tick(now time.Duration) Action {
	if !s.connected || s.finished || now-s.lastReceived < s.policy.IdleTimeout {
		return Action{}
	}
	return s.failConnection(CauseIdle)
}

// ConnectionFailed records that a connection ended before the response was complete. That
// includes one that was closed cleanly without the final event.
func (s *Stream) ConnectionFailed(conn int, cause Cause) Action {
	if !s.current(conn) {
		return Action{}
	}
	return s.failConnection(cause)
}

// Rejected records that the target refused the request and stated that it did not run,
// such as with a 409 for a wrong version.
func (s *Stream) Rejected(conn int) Action {
	if !s.current(conn) {
		return Action{}
	}
	s.sent = false
	return s.failConnection(CauseRejected)
}

// NoTarget records that a Redispatch is not possible.
func (s *Stream) NoTarget() Action {
	if s.finished {
		return Action{}
	}
	return s.fail(CauseNoTarget)
}

// Abort ends the request because its caller has disconnected.
func (s *Stream) Abort() Action {
	if s.finished {
		return Action{}
	}
	return s.fail(CauseCallerGone)
}

// failConnection ends the current connection and chooses the cheapest way to continue:
// resuming at the same engine recomputes nothing.
func (s *Stream) failConnection(cause Cause) Action {
	s.connected = false
	if cause == CauseDial && !s.sent {
		s.dialFailures++
	}
	switch {
	case s.canResume(cause):
		s.resumes++
		return Action{Kind: Resume, Target: s.target, Attempt: s.attempt, LastSeq: s.nextSeq - 1}
	case s.canRedispatch():
		return Action{Kind: Redispatch, Tried: slices.Clone(s.tried), Cancel: s.attemptToCancel(cause)}
	}
	return s.fail(cause)
}

// canResume reports whether the current attempt can be resumed. Only the incarnation of the
// engine that began the attempt can continue it. A chunk of another attempt does not mean
// that the engine's stream is lost.
func (s *Stream) canResume(cause Cause) bool {
	switch cause {
	case CauseIncarnationChanged, CauseVersionChanged, CauseSoftwareChanged, CauseUnknownStream, CauseNoNewRequests, CauseReplayDiverged, CauseRejected:
		return false
	case CauseDial:
		// The engine may be unreachable only briefly, but trying it again is
		// useful only if the request can't be sent to another target.
		if s.policy.Idempotent {
			return false
		}
	}
	return s.incarnation != "" && s.resumes < s.policy.MaxResumes
}

// canRedispatch reports whether the request may be sent to another target. A
// non-idempotent request may be only if no byte of it can have reached any target.
func (s *Stream) canRedispatch() bool {
	if len(s.tried)-min(s.dialFailures, maxUncountedDialFailures) >= s.policy.MaxDispatches || s.bytesRelayed {
		return false
	}
	return s.policy.Idempotent || !s.sent && !s.sentEarlier
}

// attemptToCancel returns the current attempt if its target may still be executing it.
func (s *Stream) attemptToCancel(cause Cause) *Ref {
	if !s.sent || cause == CauseUnknownStream || cause == CauseIncarnationChanged {
		return nil
	}
	return &Ref{Attempt: s.attempt, Target: s.target}
}

// fail ends the request with an error.
func (s *Stream) fail(cause Cause) Action {
	a := Action{Kind: EndError, Cause: cause, Outcome: s.Outcome(), Partial: s.relayed > 0 || s.bytesRelayed}
	if s.attempt != "" {
		a.Cancel = s.attemptToCancel(cause)
	}
	s.connected, s.finished = false, true
	return a
}

// Outcome returns the outcome to report if the request fails now.
func (s *Stream) Outcome() Outcome {
	if s.sent || s.sentEarlier {
		return MayHaveRun
	}
	return NotRun
}
