// Package runmove decides how a generation that may not run again goes on at another target.
//
// It answers two loads: targets that have to load new weights, or leave, while long streams keep
// them, and targets that end in the middle of such streams. The memory of a run is copied to
// another target, and the run goes on there after the last event that its caller has.
//
// Run is the state of one generation, Copies the budget of one instance, and Choose picks the
// destination. Instances exchange nothing for this: a destination refuses a copy for which it has
// no room. The package does no I/O and reads no clock.
package runmove

import "time"

// Place is a target at which a run may go on.
type Place struct {
	ID      string
	Address string
}

// Result is a target's response to the request to copy a run.
type Result int

// The possible results.
const (
	// Unanswered: it is unknown whether the target got the request.
	Unanswered Result = iota
	// Copied: the copy is complete.
	Copied
	// NoRun: the target runs no such request.
	NoRun
	// InProgress: an earlier request for the same run is being carried out.
	InProgress
	// NoRoom: the destination has no room or cannot be reached.
	NoRoom
)

func (r Result) String() string {
	return [...]string{"unanswered", "copied", "no_run", "in_progress", "no_room"}[r]
}

const (
	// MaxCopies bounds the destinations that are tried for one run.
	MaxCopies = 3
	// copyRetryDelay is the time after which another destination is tried. What is known of their
	// loads is about as old.
	copyRetryDelay = 300 * time.Millisecond
	// maxStops bounds the requests to stop one run at its target.
	maxStops = 3
)

type phase int

const (
	// running: the run is at its target, and no copy of it is known.
	running phase = iota
	// copying: the first part of its memory is being copied while it runs.
	copying
	// stopping: its target has been asked to stop it and to copy the rest. It may have stopped.
	stopping
	// stopped: it has stopped and goes on where its memory is.
	stopped
	// ended: its stream is complete, or it goes on nowhere.
	ended
)

// Run is the state of a generation at one target. The zero value is not valid; see New.
type Run struct {
	phase               phase
	source, destination Place
	handle              string
	copies, stops       int
	// copiedAt is when the last copy was begun.
	copiedAt time.Duration
	// places are where a stopped run may go on, in the order in which they are tried.
	places []Continuation
}

// Continuation is a way for a stopped run to go on.
type Continuation struct {
	// At is the target that goes on with the run.
	At Place
	// Owner is the source of the copy, which is found under its handle.
	Owner  Place
	Handle string
}

// New returns the state of a generation that a target runs.
func New(source Place) *Run { return &Run{source: source} }

// Idle reports whether no move is under way.
func (r *Run) Idle() bool { return r.phase == running }

// HasCopiesLeft reports whether another destination may be tried, now or later.
func (r *Run) HasCopiesLeft() bool { return r.phase == running && r.copies < MaxCopies }

// MayCopy reports whether a copy may be started: no move is under way, and the run may be moved
// (again) now.
func (r *Run) MayCopy(now time.Duration) bool {
	return r.phase == running && r.copies < MaxCopies && (r.copies == 0 || now >= r.copiedAt+copyRetryDelay)
}

// BeginCopy starts a copy to a destination. It returns false if that may not be done now.
func (r *Run) BeginCopy(now time.Duration, destination Place) bool {
	if !r.MayCopy(now) {
		return false
	}
	r.copies++
	r.copiedAt = now
	r.phase, r.destination = copying, destination
	return true
}

// HandleCopy handles the result of a copy that was made while the run went on. It returns whether
// the run may now be stopped.
func (r *Run) HandleCopy(result Result, handle string) (stop bool) {
	if handle != "" {
		r.handle = handle
	}
	if r.phase != copying {
		return false
	}
	if result != Copied || handle == "" {
		r.phase = running
		return false
	}
	return true
}

// Abandon ends a move before the run is stopped: it goes on where it is. It returns the handle of
// the copy, which nobody will use, and the target that frees it.
func (r *Run) Abandon() (handle string, at Place) {
	handle, at = r.handle, r.source
	r.handle = ""
	if r.phase == copying {
		r.phase = running
	}
	return handle, at
}

// BeginStop is called right before the target is asked to stop the run. It returns false if the
// run must not be stopped.
func (r *Run) BeginStop() bool {
	if r.phase != copying && r.phase != stopping || r.handle == "" || r.stops >= maxStops {
		return false
	}
	r.stops++
	r.phase = stopping
	return true
}

// HandleStop handles the response to a request to stop. It returns whether to ask again.
//
// A target that knows no such run does not work on it. Either its stream is complete, or an
// earlier request whose response was lost has stopped it. The copy then has all of it or, if the
// target has restarted, what was copied before; the rest is generated again from there.
func (r *Run) HandleStop(result Result, handle string) (again bool) {
	if r.phase != stopping {
		return false
	}
	if handle != "" {
		r.handle = handle
	}
	switch {
	case result == Copied:
		r.stopAt(r.copyAt(r.destination), r.copyAt(r.source))
	case result == NoRoom && handle != "":
		r.stopAt(r.copyAt(r.source))
	case result == NoRun:
		r.stopAt(r.copyAt(r.destination))
	case r.stops < maxStops:
		return true
	default:
		r.phase = ended
	}
	return false
}

func (r *Run) stopAt(places ...Continuation) { r.phase, r.places = stopped, places }

func (r *Run) copyAt(at Place) Continuation {
	return Continuation{At: at, Owner: r.source, Handle: r.handle}
}

// Stopping reports whether the target may have stopped the run without this being known.
func (r *Run) Stopping() bool { return r.phase == stopping }

// Stopped reports whether the target has stopped the run, so that it may go on elsewhere.
func (r *Run) Stopped() bool { return r.phase == stopped }

// Next returns the next way for a stopped run to go on. Each is returned once.
func (r *Run) Next() (next Continuation, ok bool) {
	if r.phase != stopped || len(r.places) == 0 {
		return Continuation{}, false
	}
	next = r.places[0]
	r.places = r.places[1:]
	return next, true
}

// ContinueAt returns the state of the run at the place at which it goes on.
func (r *Run) ContinueAt(at Place) *Run {
	r.phase, r.handle = ended, "" // the copy is in use
	return &Run{source: at, copies: r.copies, copiedAt: r.copiedAt}
}

// End ends the run. It returns the handle of a copy that nobody will use, and the target that
// frees it at both ends; an empty handle if there is none. While a request to a target is
// unanswered, call it again after the response.
func (r *Run) End() (handle string, at Place) {
	handle, at = r.handle, r.source
	r.phase, r.handle = ended, ""
	return handle, at
}
