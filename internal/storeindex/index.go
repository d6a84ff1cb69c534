// Package storeindex tracks the contents of KV cache stores.
//
// Model servers evict cached pieces within seconds: the unique part of each
// prompt, which is never requested again, displaces shared prefixes, which are.
// A piece that a server saved to a store can be fetched from there in
// milliseconds instead of being computed again. The index of a store follows
// the store's events. Since events arrive late, saves are recorded as soon as
// they are known.
//
// The package does no I/O and does not read the clock.
package storeindex

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mastictray/mastictray/internal/prefix"
)

// Event states that the store has added or evicted a piece.
type Event struct {
	Scope  string
	Piece  prefix.Hash
	Stored bool
}

// EventBatch is the store's response to a poll for events.
type EventBatch struct {
	// BootEpoch changes when the store restarts, which empties it.
	BootEpoch int64
	// Next is the position from which to poll next.
	Next int64
	// Gap is set if events before these were lost.
	Gap    bool
	Events []Event
}

// Index is the set of pieces in one store. It is not safe for concurrent use.
type Index struct {
	bootEpoch int64
	reachable bool
	// following is set while this process reads the store's events itself.
	following bool
	storedAt  map[uint64]time.Duration // last save or event, by pieceKey
}

const (
	// maxPieces bounds the index: several times the pieces of a store of some
	// million tokens.
	maxPieces = 1 << 16
	// unfollowedTTL is how long a piece counts as stored if this process does not
	// read the store's events and so gets no evictions: about the time in which a
	// busy store replaces its whole content.
	unfollowedTTL = 15 * time.Second
)

// New returns the index of a store that has not responded yet.
func New() *Index { return &Index{storedAt: map[uint64]time.Duration{}} }

// Apply applies a batch of events. A restart or a gap clears the index first, since
// each piece that is wrongly expected in the store costs a failed fetch.
func (x *Index) Apply(now time.Duration, batch EventBatch) {
	x.following = true
	x.MarkReachable(batch.BootEpoch)
	if batch.Gap || len(x.storedAt) > maxPieces {
		clear(x.storedAt)
	}
	for _, e := range batch.Events {
		if e.Stored {
			x.storedAt[pieceKey(e.Scope, e.Piece)] = now
		} else {
			delete(x.storedAt, pieceKey(e.Scope, e.Piece))
		}
	}
}

// MarkReachable records that the store responded to this instance or to a peer. A new
// boot epoch clears the index.
func (x *Index) MarkReachable(bootEpoch int64) {
	if bootEpoch != x.bootEpoch {
		clear(x.storedAt)
	}
	x.bootEpoch, x.reachable = bootEpoch, true
}

// MarkUnreachable records that the store does not respond. Nothing counts as stored
// then: a fetch attempt would delay each request by some hundred milliseconds.
func (x *Index) MarkUnreachable() { x.reachable = false }

// Reachable reports whether the store responds, and its boot epoch.
func (x *Index) Reachable() (bootEpoch int64, ok bool) { return x.bootEpoch, x.reachable }

// StopFollowing records that this process no longer reads the store's events.
func (x *Index) StopFollowing() { x.following = false }

// RecordSave records that a model server is saving pieces to the store.
func (x *Index) RecordSave(now time.Duration, scope string, pieces []prefix.Hash) {
	if len(x.storedAt) > maxPieces {
		clear(x.storedAt)
	}
	for _, p := range pieces {
		x.storedAt[pieceKey(scope, p)] = now
	}
}

// LeadingStored returns how many of the pieces, counted from the first, the store has
// without a gap.
func (x *Index) LeadingStored(now time.Duration, scope string, pieces []prefix.Hash) int {
	if !x.reachable {
		return 0
	}
	for i, p := range pieces {
		at, ok := x.storedAt[pieceKey(scope, p)]
		if !ok || !x.following && now-at > unfollowedTTL {
			return i
		}
	}
	return len(pieces)
}

func pieceKey(scope string, piece prefix.Hash) uint64 {
	return uint64(prefix.Extend(prefix.Hash(xxhash.Sum64String(scope)), piece))
}
