package attempt

// Kind says what an Action asks for.
type Kind int

// The kinds of action.
const (
	// None: nothing to do.
	None Kind = iota
	// Relay: send Data to the caller as event Seq.
	Relay
	// Resume: ask Target to go on with Attempt after event LastSeq, then
	// call Stream.Resumed.
	Resume
	// Redispatch: send the request to a target not in Tried, then call
	// Stream.Dispatch, or Stream.NoTarget when there is none or the retry
	// budget is spent.
	Redispatch
	// EndOK: the answer is whole; for Stream.Answer, Data is its body.
	EndOK
	// EndError: tell the caller Outcome and Cause; see ErrorBody.
	EndError
)

// Outcome says whether a request that failed ran.
type Outcome string

// The outcomes of a failed request.
const (
	// NotRun: no byte may have reached a target, or each target that got
	// one refused the request as a whole.
	NotRun Outcome = "not_run"
	// MayHaveRun: a target may have run it, in part or as a whole.
	MayHaveRun Outcome = "may_have_run"
)

// Cause is why a connection to a target or a whole request ended early.
type Cause string

// The causes.
const (
	CauseClosed        Cause = "closed"
	CauseReset         Cause = "reset"
	CauseMalformed     Cause = "malformed"
	CauseIdle          Cause = "idle"
	CauseGap           Cause = "sequence_gap"
	CauseCrossed       Cause = "crossed_answer"
	CauseIncarnation   Cause = "incarnation_changed"
	CauseVersion       Cause = "version_changed"
	CauseUnknownStream Cause = "unknown_stream"
	CauseDiverged      Cause = "replay_diverged"
	CauseDial          Cause = "dial"
	CauseRejected      Cause = "rejected"
	CauseNoTarget      Cause = "no_target"
	CauseCaller        Cause = "caller_gone"
)

// Action is what the caller of a Stream has to do next.
type Action struct {
	Kind Kind
	// Seq and Data with Relay. Data is valid until the next call.
	Seq  int64
	Data []byte
	// Done is set with the Relay of the event that ends the stream; EndOK
	// is implied after it.
	Done bool
	// Target, Attempt and LastSeq with Resume; LastSeq -1 asks for all.
	Target  string
	Attempt string
	LastSeq int64
	// Tried lists the targets used so far, with Redispatch.
	Tried []string
	// Cancel, when set, names an attempt that a target may still be working
	// on for nothing.
	Cancel *Ref
	// Outcome and Cause with EndError. Partial says that the caller has got
	// a part of the answer.
	Outcome Outcome
	Cause   Cause
	Partial bool
}

// Ref is an attempt at a target.
type Ref struct {
	Attempt string
	Target  string
}
