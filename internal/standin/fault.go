package standin

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// KindNone clears all faults.
const KindNone = "none"

// Fault is the body of POST /fault.
type Fault struct {
	Kind string `json:"kind"`
	// DelayMillis is a delay in milliseconds, for the kinds that take one.
	DelayMillis int `json:"ms"`
	// Count is how many times the fault strikes; 0 means until it is cleared.
	Count int `json:"n"`
	// Marker is the prompt text or the version that triggers the fault.
	Marker string `json:"marker"`
}

// Delay is the fault's Millis as a duration.
func (f Fault) Delay() time.Duration { return time.Duration(f.DelayMillis) * time.Millisecond }

// Faults is the set of faults that are switched on, at most one of a kind. It
// is safe for concurrent use.
type Faults struct {
	kinds map[string]bool
	mu    sync.Mutex
	on    map[string]Fault
	// changed is closed and replaced when the set changes.
	changed chan struct{}
}

// NewFaults returns an empty set that accepts the given kinds.
func NewFaults(kinds ...string) *Faults {
	f := &Faults{kinds: map[string]bool{}, on: map[string]Fault{}, changed: make(chan struct{})}
	for _, k := range kinds {
		f.kinds[k] = true
	}
	return f
}

// Set switches a fault on, or clears all for KindNone. It reports whether the
// kind is known.
func (f *Faults) Set(fault Fault) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case fault.Kind == KindNone:
		clear(f.on)
	case f.kinds[fault.Kind]:
		f.on[fault.Kind] = fault
	default:
		return false
	}
	close(f.changed)
	f.changed = make(chan struct{})
	return true
}

// Get returns the fault of a kind when it is on, without using it up.
func (f *Faults) Get(kind string) (Fault, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fault, ok := f.on[kind]
	return fault, ok
}

// Consume is Get, and uses up one strike of a fault with a count.
func (f *Faults) Consume(kind string) (Fault, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fault, ok := f.on[kind]
	if !ok || fault.Count == 0 {
		return fault, ok
	}
	left := fault
	left.Count--
	if left.Count == 0 {
		delete(f.on, kind)
	} else {
		f.on[kind] = left
	}
	return fault, true
}

// WaitWhile blocks while a fault of the kind is on, or until ctx ends.
func (f *Faults) WaitWhile(ctx context.Context, kind string) error {
	for {
		f.mu.Lock()
		_, on := f.on[kind]
		changed := f.changed
		f.mu.Unlock()
		if !on {
			return ctx.Err()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Handler serves POST /fault. It calls act, when not nil, after the switch,
// for kinds that strike at once.
func (f *Faults) Handler(act func(Fault)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var fault Fault
		if !ReadJSON(w, r, &fault) {
			return
		}
		if !f.Set(fault) {
			WriteError(w, http.StatusBadRequest, "unknown_fault")
			return
		}
		WriteJSON(w, http.StatusOK, fault)
		if act != nil {
			act(fault)
		}
	}
}
