package cacheindex

import (
	"time"

	"github.com/mastictray/mastictray/internal/prefix"
)

// EntryBytes is the memory charged for one piece: the entry, its
// part of the index and the index's spare room.
const EntryBytes = 96

// Ref is a handle on the entries of one target identity. The zero Ref
// has none. A Ref goes stale when the identity changes, and then
// has none either.
type Ref uint32

type key struct {
	generation uint32
	hash       prefix.Hash
}

// Index is the set of pieces known to be held, of all targets. It is not safe for
// concurrent use.
type Index struct {
	holders     map[string]*holder
	index       map[key]int32
	entries     entryList
	maxEntries  int
	generations uint32
	uses        uint64
	// capacity is the tokens that a target's cache holds; 0 when not known.
	capacity float64
}

// New makes a store that keeps within budgetBytes by forgetting the
// pieces used least recently, over all targets.
func New(budgetBytes int) *Index {
	return &Index{
		holders:    map[string]*holder{},
		index:      map[key]int32{},
		entries:    newEntryList(),
		maxEntries: max(1, budgetBytes/EntryBytes),
	}
}

// SetCapacity gives the tokens that one target's cache holds; 0 when that is
// not known, and nothing is taken for evicted by its age.
func (x *Index) SetCapacity(tokens float64) { x.capacity = tokens }

// AddInsertedTokens counts tokens that a request has put into the target's cache. Targets
// evict what was used least recently, mostly by the own parts of prompts, which
// nobody asks for again: a piece after whose last use a whole cache was filled
// is gone. Were it still counted on, requests would be sent there for it and
// compute it anew, though another target or a store holds it.
func (x *Index) AddInsertedTokens(id Identity, tokens float64) {
	if h := x.current(id); h != nil {
		h.taken += max(0, tokens)
	}
}

// evicted says that a whole cache was filled since the entry's last use.
func (x *Index) evicted(e *entry) bool {
	return x.capacity > 0 && e.holder.taken-e.takenAt > x.capacity
}

// Len is the number of entries.
func (x *Index) Len() int { return len(x.index) }

// Observe tells the store what a target answered to a question that was sent
// at asked, and returns the handle for it. A changed incarnation or version
// drops all entries. Send the questions to one target one after the
// other.
//
// An answer of an ended incarnation can arrive after the first one of the
// next. It is ignored, because its question is older: were it taken in,
// answers that cross would bring a dead engine's entries back.
func (x *Index) Observe(asked time.Duration, id Identity) Ref {
	h := x.holders[id.Target]
	if h == nil {
		h = &holder{first: none}
		x.holders[id.Target] = h
	}
	if asked < h.asked {
		return Ref(h.generation)
	}
	h.asked = asked
	if h.identity == id {
		return Ref(h.generation)
	}
	x.drop(h)
	x.generations++
	h.identity, h.generation = id, x.generations
	return Ref(h.generation)
}

// RemoveTarget drops a target that left the configuration.
func (x *Index) RemoveTarget(target string) {
	if h := x.holders[target]; h != nil {
		x.drop(h)
		delete(x.holders, target)
	}
}

// Cached is the number of leading pieces of the chain that the target is
// known to hold. It allocates nothing.
func (x *Index) Cached(ref Ref, chain []prefix.Hash) int {
	if ref == 0 {
		return 0
	}
	for i, hash := range chain {
		at, ok := x.index[key{uint32(ref), hash}]
		if !ok || x.evicted(&x.entries.at[at]) {
			return i
		}
	}
	return len(chain)
}

// Stamp marks a moment in the order of uses of one target's pieces; the zero
// Stamp is before all uses.
type Stamp uint64

// AddExpected records the pieces that a request on its way to the target will
// leave there. It gives the stamp of the least recent use among those already
// known, for Missed.
func (x *Index) AddExpected(id Identity, chain []prefix.Hash) Stamp {
	h := x.current(id)
	if h == nil {
		return 0
	}
	stamp := x.leastRecent(h, chain)
	x.addAll(h, chain)
	return stamp
}

// leastRecent is the stamp of the least recently used leading piece that is known.
func (x *Index) leastRecent(h *holder, chain []prefix.Hash) Stamp {
	var least uint64
	for i, hash := range chain {
		at, ok := x.index[key{h.generation, hash}]
		if !ok {
			break
		}
		if used := x.entries.at[at].used; i == 0 || used < least {
			least = used
		}
	}
	return Stamp(least)
}

// RecordMiss takes in that a target had evicted pieces of a chain that Expect gave
// the stamp for. Engines evict what was used least recently, so all that was
// not used since is gone too.
func (x *Index) RecordMiss(id Identity, stamp Stamp) {
	h := x.current(id)
	if h == nil {
		return
	}
	for at := h.first; at != none; {
		e := &x.entries.at[at]
		next := e.next
		if e.used <= uint64(stamp) {
			x.remove(at)
		}
		at = next
	}
}

// Answered takes in an answer: the target prefilled the whole prompt, so it
// holds the whole chain now.
func (x *Index) Answered(id Identity, chain []prefix.Hash) {
	x.AddExpected(id, chain)
}

// Failed takes back what Expect recorded for a request that the target did
// not prefill; the first kept pieces were held before.
func (x *Index) Failed(id Identity, chain []prefix.Hash, kept int) {
	if h := x.current(id); h != nil && kept < len(chain) {
		x.removeAll(h, chain[kept:])
	}
}

// Stored applies a cache event: the target holds these pieces.
func (x *Index) Stored(id Identity, pieces []prefix.Hash) {
	if h := x.current(id); h != nil {
		x.addAll(h, pieces)
	}
}

// Evicted applies a cache event: the target holds these pieces no longer.
func (x *Index) Evicted(id Identity, pieces []prefix.Hash) {
	if h := x.current(id); h != nil {
		x.removeAll(h, pieces)
	}
}

// Cleared applies a cache event: the target holds nothing.
func (x *Index) Cleared(id Identity) {
	if h := x.current(id); h != nil {
		x.drop(h)
	}
}

// current is the holder when id is still its identity. Events and answers are
// late; those of an ended identity say nothing about the present cache.
func (x *Index) current(id Identity) *holder {
	h := x.holders[id.Target]
	if h == nil || h.identity != id {
		return nil
	}
	return h
}

func (x *Index) addAll(h *holder, pieces []prefix.Hash) {
	x.uses++
	for _, hash := range pieces {
		k := key{h.generation, hash}
		if at, ok := x.index[k]; ok {
			x.entries.touch(at)
			x.entries.at[at].used, x.entries.at[at].takenAt = x.uses, h.taken
			continue
		}
		if len(x.index) >= x.maxEntries {
			x.remove(x.entries.oldest())
		}
		at := x.entries.insert(k, h)
		x.entries.at[at].used, x.entries.at[at].takenAt = x.uses, h.taken
		x.index[k] = at
	}
}

func (x *Index) removeAll(h *holder, pieces []prefix.Hash) {
	for _, hash := range pieces {
		if at, ok := x.index[key{h.generation, hash}]; ok {
			x.remove(at)
		}
	}
}

func (x *Index) remove(at int32) {
	delete(x.index, x.entries.at[at].key)
	x.entries.remove(at)
}

// drop forgets every entry of one target.
func (x *Index) drop(h *holder) {
	for h.first != none {
		x.remove(h.first)
	}
}
