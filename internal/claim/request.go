package claim

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of the methods that take a request.
var (
	// ErrNotHolder is returned for a request that does not hold its key and therefore
	// must not be sent.
	ErrNotHolder = errors.New("claim: request does not hold its key")
	// ErrDuplicateID is returned for a second request with the same id.
	ErrDuplicateID = errors.New("claim: duplicate request id")
)

// Request is a non-idempotent request with an idempotency key.
type Request struct {
	// ID must be unique over the whole fleet and all time.
	ID          string
	Account     string
	Key         string
	RequestHash RequestHash
	// Deadline is the latest time for an answer, on the clock of the argument now.
	Deadline time.Duration
	// RunWhenLogDown lets the request run without a claim while the log is down.
	RunWhenLogDown bool
}

// State is the decision on a request.
type State string

// States of an answer.
const (
	// Run: the request holds its key. Call BeginDispatch and then send it.
	Run State = "run"
	// Replay: an earlier request with the key ran. Its response is Answer.Result.
	Replay State = "replay"
	// InProgress: another request holds the key and has no result yet.
	InProgress State = "in_progress"
	// MayHaveRun: an earlier request with the key may have run, but its process has
	// ended or its outcome is unknown.
	MayHaveRun State = "may_have_run"
	// BodyMismatch: the key was used for a different request. This one has not run.
	BodyMismatch State = "body_mismatch"
	// Unavailable: no claim could be made in time. The request has not run.
	Unavailable State = "unavailable"
	// TooOld: the key is older than the records that this instance has, so an earlier
	// request with it may have run.
	TooOld State = "too_old"
)

// NotRun reports whether the state guarantees that the request was not run for the
// caller that gets the answer.
func (s State) NotRun() bool {
	return s == BodyMismatch || s == Unavailable
}

// Answer is the decision on the request with the given ID.
type Answer struct {
	ID    string
	State State
	// Result is set with Replay.
	Result *Result
	// HolderAddress is the peer address of the instance that holds the key. It is set
	// with InProgress and MayHaveRun if known.
	HolderAddress string
	// Unclaimed is set with Run if the request runs without a claim because the log is
	// down.
	Unclaimed bool
}

type phase int

const (
	phaseWaiting phase = iota
	phaseClaiming
	phaseWon
	phaseDispatched
	phaseDone
)

type request struct {
	Request
	key   KeyHash
	phase phase
	// attempt is the id of the current claim, claimCount the number of claims so far.
	attempt    string
	claimCount int
	// claimDeadline is the time until which the request waits for its claim.
	claimDeadline time.Duration
	unclaimed     bool
}

// claimPending reports whether the claim is still to be appended: the request waits for
// it, or runs without it.
func (r *request) claimPending(attempt string) bool {
	return r.attempt == attempt && (r.phase == phaseClaiming || r.unclaimed && r.phase != phaseDone)
}
