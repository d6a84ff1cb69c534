package standin

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// KindNone is the kind of fault that clears all active faults.
const KindNone = "none"

// Fault is the body of POST /fault.
type Fault struct {
	Kind string `json:"kind"`
	// DelayMillis is the delay in milliseconds of a kind of fault that has one.
	DelayMillis int `json:"ms"`
	// Count is the number of times that the fault occurs; 0 means until it is cleared.
	Count int `json:"n"`
	// Marker is the text in a prompt, or the weights version, that triggers the fault.
	Marker string `json:"marker"`
}

// Delay returns DelayMillis as a duration.
func (f Fault) Delay() time.Duration { return time.Duration(f.DelayMillis) * time.Millisecond }

// Faults is the set of active faults, at most one of each kind. It is safe for
// concurrent use.
type Faults struct {
	supported map[string]bool
	mu        sync.Mutex
	active    map[string]Fault
	// changed is closed and replaced whenever Set changes the set.
	changed chan struct{}
}

// NewFaults returns an empty set that supports the given kinds of fault.
func NewFaults(kinds ...string) *Faults {
	f := &Faults{supported: map[string]bool{}, active: map[string]Fault{}, changed: make(chan struct{})}
	for _, k := range kinds {
		f.supported[k] = true
	}
	return f
}

// Set activates a fault, or clears all faults if its kind is KindNone. It returns
// false if the kind is not supported.
func (f *Faults) Set(fault Fault) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case fault.Kind == KindNone:
		clear(f.active)
	case f.supported[fault.Kind]:
		f.active[fault.Kind] = fault
	default:
		return false
	}
	close(f.changed)
	f.changed = make(chan struct{})
	return true
}

// Get returns the active fault of a kind, if any, without consuming an occurrence.
func (f *Faults) Get(kind string) (Fault, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fault, ok := f.active[kind]
	return fault, ok
}

// Consume returns the active fault of a kind, if any, and consumes one occurrence
// of a fault that has a count.
func (f *Faults) Consume(kind string) (Fault, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fault, ok := f.active[kind]
	if !ok || fault.Count == 0 {
		return fault, ok
	}
	remaining := fault
	remaining.Count--
	if remaining.Count == 0 {
		delete(f.active, kind)
	} else {
		f.active[kind] = remaining
	}
	return fault, true
}

// WaitWhile blocks until no fault of the kind is active or ctx ends.
func (f *Faults) WaitWhile(ctx context.Context, kind string) error {
	for {
		f.mu.Lock()
		_, active := f.active[kind]
		changed := f.changed
		f.mu.Unlock()
		if !active {
			return ctx.Err()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Handler serves POST /fault. If onSet is not nil, it is called after the response
// is written, for kinds of fault that take effect immediately.
func (f *Faults) Handler(onSet func(Fault)) http.HandlerFunc {
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
		if onSet != nil {
			onSet(fault)
		}
	}
}
