package cacheindex

import (
	"time"

	"github.com/mastictray/mastictray/internal/prefix"
)

// EntryBytes is the memory charged per piece: the entry, its part of the map and the
// spare capacity of the map.
const EntryBytes = 96

// Ref refers to the entries of one target identity. The zero Ref has no entries. Nor
// has a Ref whose target has since changed its identity.
type Ref uint32

type key struct {
	generation uint32
	hash       prefix.Hash
}

// Index is the set of pieces known to be cached, for all targets. It is not safe for
// concurrent use.
type Index struct {
	targets     map[string]*targetState
	byKey       map[key]int32
	entries     entryList
	maxEntries  int
	generations uint32
	uses        uint64
	// capacity is the size of a target's cache in tokens; 0 if unknown.
	capacity float64
}

// New returns an index that stays within budgetBytes by removing the least recently
// used pieces, across all targets.
func New(budgetBytes int) *Index {
	return &Index{
		targets:    map[string]*targetState{},
		byKey:      map[key]int32{},
		entries:    newEntryList(),
		maxEntries: max(1, budgetBytes/EntryBytes),
	}
}

// SetCapacity sets the size of each target's cache in tokens. With 0, for an unknown
// size, no piece is presumed evicted because of its age.
func (x *Index) SetCapacity(tokens float64) { x.capacity = tokens }

// AddInsertedTokens counts tokens that a request has added to the target's cache.
// Targets evict the least recently used pieces, mostly to make room for the parts of
// prompts that are never requested again. A piece that has not been used while the
// whole cache was refilled is therefore presumed evicted. Otherwise requests would be
// sent to the target for it and recompute it there, although another target or a
// store has it.
func (x *Index) AddInsertedTokens(id Identity, tokens float64) {
	if t := x.currentTarget(id); t != nil {
		t.insertedTokens += max(0, tokens)
	}
}

// presumedEvicted reports whether the target's whole cache has been refilled since the
// entry was last used.
func (x *Index) presumedEvicted(e *entry) bool {
	return x.capacity > 0 && e.target.insertedTokens-e.insertedAtUse > x.capacity
}

// Len returns the number of entries.
func (x *Index) Len() int { return len(x.byKey) }

// Observe records the identity that a target returned to a status query sent at
// queriedAt, and returns the Ref for it. A changed incarnation or version removes all
// entries of the target. Queries to the same target must be sent one after another.
//
// An answer of an earlier incarnation can arrive after the first answer of the next
// one. It is ignored because its query is older; otherwise it would bring back the
// entries of an engine that no longer runs.
func (x *Index) Observe(queriedAt time.Duration, id Identity) Ref {
	t := x.targets[id.Target]
	if t == nil {
		t = &targetState{firstEntry: nilIndex}
		x.targets[id.Target] = t
	}
	if queriedAt < t.queriedAt {
		return Ref(t.generation)
	}
	t.queriedAt = queriedAt
	if t.identity == id {
		return Ref(t.generation)
	}
	x.removeEntries(t)
	x.generations++
	t.identity, t.generation = id, x.generations
	return Ref(t.generation)
}

// RemoveTarget removes a target that is no longer configured.
func (x *Index) RemoveTarget(target string) {
	if t := x.targets[target]; t != nil {
		x.removeEntries(t)
		delete(x.targets, target)
	}
}

// Cached returns the number of leading pieces of the chain that the target is known to
// have cached. It does not allocate.
func (x *Index) Cached(ref Ref, chain []prefix.Hash) int {
	if ref == 0 {
		return 0
	}
	for i, hash := range chain {
		at, ok := x.byKey[key{uint32(ref), hash}]
		if !ok || x.presumedEvicted(&x.entries.nodes[at]) {
			return i
		}
	}
	return len(chain)
}

// Stamp is a position in the order of uses of one target's pieces. The zero Stamp
// precedes all uses.
type Stamp uint64

// AddExpected records the pieces that a request sent to the target will leave in its
// cache. It returns the stamp of the least recent use among the leading pieces that
// were already known, for RecordMiss.
func (x *Index) AddExpected(id Identity, chain []prefix.Hash) Stamp {
	t := x.currentTarget(id)
	if t == nil {
		return 0
	}
	stamp := x.leastRecentUse(t, chain)
	x.addAll(t, chain)
	return stamp
}

// leastRecentUse returns the stamp of the least recently used piece among the known
// leading pieces of the chain.
func (x *Index) leastRecentUse(t *targetState, chain []prefix.Hash) Stamp {
	var least uint64
	for i, hash := range chain {
		at, ok := x.byKey[key{t.generation, hash}]
		if !ok {
			break
		}
		if used := x.entries.nodes[at].lastUse; i == 0 || used < least {
			least = used
		}
	}
	return Stamp(least)
}

// RecordMiss records that a target had evicted pieces of a chain for which AddExpected
// returned the stamp. Engines evict the least recently used pieces first, so every
// piece not used since then is removed as well.
func (x *Index) RecordMiss(id Identity, stamp Stamp) {
	t := x.currentTarget(id)
	if t == nil {
		return
	}
	for at := t.firstEntry; at != nilIndex; {
		e := &x.entries.nodes[at]
		next := e.next
		if e.lastUse <= uint64(stamp) {
			x.remove(at)
		}
		at = next
	}
}

// Answered records that a request was answered: the target prefilled the whole prompt
// and therefore has the whole chain cached.
func (x *Index) Answered(id Identity, chain []prefix.Hash) {
	x.AddExpected(id, chain)
}

// Failed removes what AddExpected recorded for a request that the target did not
// prefill, except the first kept pieces, which were cached before.
func (x *Index) Failed(id Identity, chain []prefix.Hash, kept int) {
	if t := x.currentTarget(id); t != nil && kept < len(chain) {
		x.removeAll(t, chain[kept:])
	}
}

// Stored applies a cache event: the target has cached these pieces.
func (x *Index) Stored(id Identity, pieces []prefix.Hash) {
	if t := x.currentTarget(id); t != nil {
		x.addAll(t, pieces)
	}
}

// Evicted applies a cache event: the target has evicted these pieces.
func (x *Index) Evicted(id Identity, pieces []prefix.Hash) {
	if t := x.currentTarget(id); t != nil {
		x.removeAll(t, pieces)
	}
}

// Cleared applies a cache event: the target's cache is empty.
func (x *Index) Cleared(id Identity) {
	if t := x.currentTarget(id); t != nil {
		x.removeEntries(t)
	}
}

// currentTarget returns the target's state if id is still its identity, otherwise nil.
// Events and answers can be late; those of an earlier identity say nothing about the
// current cache.
func (x *Index) currentTarget(id Identity) *targetState {
	t := x.targets[id.Target]
	if t == nil || t.identity != id {
		return nil
	}
	return t
}

func (x *Index) addAll(t *targetState, pieces []prefix.Hash) {
	x.uses++
	for _, hash := range pieces {
		k := key{t.generation, hash}
		if at, ok := x.byKey[k]; ok {
			x.entries.touch(at)
			x.entries.nodes[at].lastUse, x.entries.nodes[at].insertedAtUse = x.uses, t.insertedTokens
			continue
		}
		if len(x.byKey) >= x.maxEntries {
			x.remove(x.entries.leastRecentlyUsed())
		}
		at := x.entries.insert(k, t)
		x.entries.nodes[at].lastUse, x.entries.nodes[at].insertedAtUse = x.uses, t.insertedTokens
		x.byKey[k] = at
	}
}

func (x *Index) removeAll(t *targetState, pieces []prefix.Hash) {
	for _, hash := range pieces {
		if at, ok := x.byKey[key{t.generation, hash}]; ok {
			x.remove(at)
		}
	}
}

func (x *Index) remove(at int32) {
	delete(x.byKey, x.entries.nodes[at].key)
	x.entries.remove(at)
}

// removeEntries removes all entries of one target.
func (x *Index) removeEntries(t *targetState) {
	for t.firstEntry != nilIndex {
		x.remove(t.firstEntry)
	}
}
