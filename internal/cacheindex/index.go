// Package cacheindex keeps what a store of KV cache is known to hold.
//
// Model servers evict cached pieces within seconds: the own part of each
// prompt, which nobody asks for again, pushes out openings that are. A piece
// that a server saved to the store is fetched from there in milliseconds
// instead of being computed again. The index follows the store's events; the
// own saves are noted at once, since events come late.
//
// The package is pure.
package cacheindex

import (
	"github.com/cespare/xxhash/v2"

	"github.com/mastictray/mastictray/internal/prefix"
)

// Event tells that the store has taken in a piece or dropped it.
type Event struct {
	Scope string
	Piece prefix.Hash
	Held  bool
}

// News is an answer of the store to the question what has changed.
type News struct {
	// Boot changes when the store starts anew, without any piece.
	Boot int64
	// Next is where to ask on.
	Next int64
	// Lost is set when events are missing before these.
	Lost   bool
	Events []Event
}

// Index is the pieces that one store holds. It is not safe for concurrent use.
type Index struct {
	boot  int64
	alive bool
	held  map[uint64]struct{}
}

// maxHeld bounds the pieces remembered: several times what a store of some
// million tokens holds.
const maxHeld = 1 << 16

// New makes an index of a store that has not answered yet.
func New() *Index { return &Index{held: map[uint64]struct{}{}} }

// Apply takes in news. After a restart or a gap only what is told from then on
// counts: a piece believed and not there costs a fetch in vain.
func (x *Index) Apply(n News) {
	x.alive = true
	if n.Boot != x.boot || n.Lost || len(x.held) > maxHeld {
		clear(x.held)
	}
	x.boot = n.Boot
	for _, e := range n.Events {
		if e.Held {
			x.held[key(e.Scope, e.Piece)] = struct{}{}
		} else {
			delete(x.held, key(e.Scope, e.Piece))
		}
	}
}

// Down takes in that the store does not answer: a fetch from it would cost
// each request some hundred milliseconds.
func (x *Index) Down() { x.alive = false }

// Alive says that the store answered the last question.
func (x *Index) Alive() bool { return x.alive }

// Saved notes that a model server saves these pieces.
func (x *Index) Saved(scope string, pieces []prefix.Hash) {
	for _, p := range pieces {
		x.held[key(scope, p)] = struct{}{}
	}
}

// Holds is the number of leading pieces that the store holds.
func (x *Index) Holds(scope string, pieces []prefix.Hash) int {
	if !x.alive {
		return 0
	}
	for i, p := range pieces {
		if _, ok := x.held[key(scope, p)]; !ok {
			return i
		}
	}
	return len(pieces)
}

func key(scope string, piece prefix.Hash) uint64 {
	return uint64(prefix.Join(prefix.Hash(xxhash.Sum64String(scope)), piece))
}
