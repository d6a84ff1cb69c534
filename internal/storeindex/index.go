// Package storeindex keeps what stores of KV cache are known to hold.
//
// Model servers evict cached pieces within seconds: the own part of each
// prompt, which nobody asks for again, pushes out openings that are. A piece
// that a server saved to a store is fetched from there in milliseconds instead
// of being computed again. The index of a store follows its events; saves are
// noted at once, since events come late.
//
// The package is pure.
package storeindex

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mastictray/mastictray/internal/prefix"
)

// Event tells that the store has taken in a piece or dropped it.
type Event struct {
	Scope  string
	Piece  prefix.Hash
	Stored bool
}

// EventBatch is an answer of the store to the question what has changed.
type EventBatch struct {
	// BootEpoch changes when the store starts anew, without any piece.
	BootEpoch int64
	// Next is where to ask on.
	Next int64
	// Gap is set when events are missing before these.
	Gap    bool
	Events []Event
}

// Index is the pieces that one store holds. It is not safe for concurrent use.
type Index struct {
	boot  int64
	alive bool
	// follows is set while this process reads the store's events itself.
	follows bool
	held    map[uint64]time.Duration // when the piece was last told of
}

const (
	// maxHeld bounds the pieces remembered: several times what a store of some
	// million tokens holds.
	maxHeld = 1 << 16
	// unfollowedFor is how long a save counts where nobody tells of evictions:
	// about the time in which a busy store replaces all that it holds.
	unfollowedFor = 15 * time.Second
)

// New makes an index of a store that has not answered yet.
func New() *Index { return &Index{held: map[uint64]time.Duration{}} }

// Apply takes in news. After a restart or a gap only what is told from then on
// counts: a piece counted on and not there costs a fetch in vain.
func (x *Index) Apply(now time.Duration, n EventBatch) {
	x.follows = true
	x.MarkReachable(n.BootEpoch)
	if n.Gap || len(x.held) > maxHeld {
		clear(x.held)
	}
	for _, e := range n.Events {
		if e.Stored {
			x.held[key(e.Scope, e.Piece)] = now
		} else {
			delete(x.held, key(e.Scope, e.Piece))
		}
	}
}

// MarkReachable takes in that the store was seen to answer, by this instance or by a
// peer, and which of its starts it was.
func (x *Index) MarkReachable(boot int64) {
	if boot != x.boot {
		clear(x.held)
	}
	x.boot, x.alive = boot, true
}

// MarkUnreachable takes in that the store does not answer: a fetch from it would cost
// each request some hundred milliseconds.
func (x *Index) MarkUnreachable() { x.alive = false }

// Reachable says whether the store answers, and which of its starts it is.
func (x *Index) Reachable() (boot int64, ok bool) { return x.boot, x.alive }

// StopFollowing notes that this process no longer reads the store's events.
func (x *Index) StopFollowing() { x.follows = false }

// RecordSave notes that a model server saves these pieces.
func (x *Index) RecordSave(now time.Duration, scope string, pieces []prefix.Hash) {
	if len(x.held) > maxHeld {
		clear(x.held)
	}
	for _, p := range pieces {
		x.held[key(scope, p)] = now
	}
}

// LeadingStored is the number of leading pieces that the store holds.
func (x *Index) LeadingStored(now time.Duration, scope string, pieces []prefix.Hash) int {
	if !x.alive {
		return 0
	}
	for i, p := range pieces {
		at, ok := x.held[key(scope, p)]
		if !ok || !x.follows && now-at > unfollowedFor {
			return i
		}
	}
	return len(pieces)
}

func key(scope string, piece prefix.Hash) uint64 {
	return uint64(prefix.Join(prefix.Hash(xxhash.Sum64String(scope)), piece))
}
