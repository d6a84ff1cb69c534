package claim

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of the calls on a request.
var (
	// ErrNotHolder: the request does not hold its key; it must not be sent.
	ErrNotHolder = errors.New("claim: request does not hold its key")
	// ErrDuplicateID: a request with this id is already known.
	ErrDuplicateID = errors.New("claim: duplicate request id")
)

// Request is a keyed non-idempotent request that a caller has sent.
type Request struct {
	// ID is unique over the whole fleet and all time.
	ID          string
	Account     string
	Key         string
	RequestHash RequestHash
	// Deadline is the latest time for an answer, on the machine's clock.
	Deadline time.Duration
	// RunWhenLogDown runs the request without a claim when none can be had.
	RunWhenLogDown bool
}

// State says how a request goes on.
type State string

// The states of an answer.
const (
	// Run: the request holds its key; call BeginDispatch, then send it.
	Run State = "run"
	// Replay: the first request's answer is in Answer.Result.
	Replay State = "replay"
	// InProgress: another request holds the key and has no result yet.
	InProgress State = "in_progress"
	// MayHaveRun: the first request's holder is gone or its outcome unknown.
	MayHaveRun State = "may_have_run"
	// BodyMismatch: the key belongs to a different request. Not run.
	BodyMismatch State = "body_mismatch"
	// Unavailable: no claim could be had in time. Not run.
	Unavailable State = "unavailable"
	// TooOld: the key is older than what is remembered; it may have run.
	TooOld State = "too_old"
)

// NotRun is true for the states after which the key's request is known not
// to run on behalf of the caller that gets the answer.
func (s State) NotRun() bool {
	return s == BodyMismatch || s == Unavailable
}

// Answer tells how the request with the ID goes on.
type Answer struct {
	ID    string
	State State
	// Result is set with Replay.
	Result *Result
	// HolderAddress is the peer address of the instance that holds the key,
	// with InProgress and MayHaveRun where it is known.
	HolderAddress string
	// Unclaimed is set with Run when the log was down and the request runs
	// without a claim.
	Unclaimed bool
}

type phase int

const (
	phaseWaiting phase = iota
	phaseClaiming
	phaseWon
	phaseDispatched
	phaseOver
)

type request struct {
	Request
	key   KeyHash
	phase phase
	// attempt names the present claim; claims counts them.
	attempt string
	claims  int
	// claimBy is when the request stops waiting for its claim.
	claimBy   time.Duration
	unclaimed bool
}

// claiming says whether the claim is still worth having.
func (r *request) claiming(attempt string) bool {
	return r.attempt == attempt && (r.phase == phaseClaiming || r.unclaimed && r.phase != phaseOver)
}
