package attempt

// Kind is the kind of an Action.
type Kind int

// Kinds of action.
const (
	// None: nothing to do.
	None Kind = iota
	// Relay: send Data to the caller as event Seq.
	Relay
	// Resume: ask Target to continue Attempt after event LastSeq, then
	// call Stream.BeginResume.
	Resume
	// Redispatch: send the request to a target not in Tried, then call
	// Stream.Dispatch, or Stream.NoTarget when there is none or the retry
	// budget is spent.
	Redispatch
	// EndOK: the response is complete. After Stream.FullResponse, Data is its body.
	EndOK
	// EndError: report Outcome and Cause to the caller; see ErrorBody.
	EndError
)

// Outcome tells whether a failed request was executed.
type Outcome string

// Outcomes of a failed request.
const (
	// NotRun: no byte of the request can have reached a target, or each target that
	// received one refused the request as a whole.
	NotRun Outcome = "not_run"
	// MayHaveRun: a target may have executed the request, at least in part.
	MayHaveRun Outcome = "may_have_run"
)

// Cause is the reason why a connection to a target or a whole request failed.
type Cause string

// Causes of failures.
const (
	// CauseClosed: the connection was closed cleanly before the response was complete.
	CauseClosed      Cause = "closed"
	CauseReset       Cause = "reset"
	CauseMalformed   Cause = "malformed"
	CauseIdle        Cause = "idle"
	CauseSequenceGap Cause = "sequence_gap"
	// CauseCrossed: the response, or a chunk of it, has the id of another attempt.
	CauseCrossed            Cause = "crossed_answer"
	CauseIncarnationChanged Cause = "incarnation_changed"
	CauseVersionChanged     Cause = "version_changed"
	// CauseSoftwareChanged: the engine's software differs from that of the chunks relayed.
	CauseSoftwareChanged Cause = "software_changed"
	// CauseUnknownStream: the engine can't resume the stream.
	CauseUnknownStream Cause = "unknown_stream"
	// CauseNoNewRequests: the target takes no request now, not even one to resume the
	// stream.
	CauseNoNewRequests Cause = "no_new_requests"
	// CauseReplayDiverged: the response to a new attempt differs from what was relayed
	// or is shorter.
	CauseReplayDiverged Cause = "replay_diverged"
	CauseDial           Cause = "dial"
	CauseRejected       Cause = "rejected"
	CauseNoTarget       Cause = "no_target"
	CauseCallerGone     Cause = "caller_gone"
)

// Action is what the user of a Stream has to do next.
type Action struct {
	Kind Kind
	// Seq and Data are set with Relay. Data is valid until the next call.
	Seq  int64
	Data []byte
	// Done is set with the Relay of the event that ends the stream. It implies EndOK.
	Done bool
	// Target, Attempt and LastSeq are set with Resume. LastSeq -1 requests all events.
	Target  string
	Attempt string
	LastSeq int64
	// Tried lists the targets used so far. It is set with Redispatch.
	Tried []string
	// Cancel is an attempt whose result is no longer needed but that a target may
	// still be executing, or nil.
	Cancel *Ref
	// Outcome, Cause and Partial are set with EndError. Partial means that the caller
	// has received a part of the response.
	Outcome Outcome
	Cause   Cause
	Partial bool
}

// Ref identifies an attempt at a target.
type Ref struct {
	Attempt string
	Target  string
}
