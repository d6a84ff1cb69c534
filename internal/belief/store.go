package belief

import (
	"time"

	"github.com/mastictray/mastictray/internal/prefix"
)

// EntryBytes is the memory charged for one believed piece: the entry, its
// part of the index and the index's spare room.
const EntryBytes = 96

// Ref is a handle on what is believed of one target identity. The zero Ref
// believes nothing. A Ref goes stale when the identity changes, and then
// believes nothing either.
type Ref uint32

type key struct {
	generation uint32
	hash       prefix.Hash
}

// Store is the set of believed pieces of all targets. It is not safe for
// concurrent use.
type Store struct {
	holders     map[string]*holder
	index       map[key]int32
	entries     entryList
	maxEntries  int
	generations uint32
	uses        uint64
	// capacity is the tokens that a target's cache holds; 0 when not known.
	capacity float64
}

// NewStore makes a store that keeps within budgetBytes by forgetting the
// pieces used least recently, over all targets.
func NewStore(budgetBytes int) *Store {
	return &Store{
		holders:    map[string]*holder{},
		index:      map[key]int32{},
		entries:    newEntryList(),
		maxEntries: max(1, budgetBytes/EntryBytes),
	}
}

// SetCapacity gives the tokens that one target's cache holds; 0 when that is
// not known, and nothing is taken for evicted by its age.
func (s *Store) SetCapacity(tokens float64) { s.capacity = tokens }

// Took counts tokens that a request has put into the target's cache. Targets
// evict what was used least recently, mostly by the own parts of prompts, which
// nobody asks for again: a piece after whose last use a whole cache was filled
// is gone. Were it believed still, requests would be sent there for it and
// compute it anew, though another target or a store holds it.
func (s *Store) Took(id Identity, tokens float64) {
	if h := s.current(id); h != nil {
		h.taken += max(0, tokens)
	}
}

// evicted says that a whole cache was filled since the entry's last use.
func (s *Store) evicted(e *entry) bool {
	return s.capacity > 0 && e.holder.taken-e.takenAt > s.capacity
}

// Len is the number of believed pieces.
func (s *Store) Len() int { return len(s.index) }

// Observe tells the store what a target answered to a question that was sent
// at asked, and returns the handle for it. A changed incarnation or version
// drops everything believed. Send the questions to one target one after the
// other.
//
// An answer of an ended incarnation can arrive after the first one of the
// next. It is ignored, because its question is older: were it believed,
// answers that cross would bring a dead engine's entries back.
func (s *Store) Observe(asked time.Duration, id Identity) Ref {
	h := s.holders[id.Target]
	if h == nil {
		h = &holder{first: none}
		s.holders[id.Target] = h
	}
	if asked < h.asked {
		return Ref(h.generation)
	}
	h.asked = asked
	if h.identity == id {
		return Ref(h.generation)
	}
	s.drop(h)
	s.generations++
	h.identity, h.generation = id, s.generations
	return Ref(h.generation)
}

// Forget drops a target that left the configuration.
func (s *Store) Forget(target string) {
	if h := s.holders[target]; h != nil {
		s.drop(h)
		delete(s.holders, target)
	}
}

// Cached is the number of leading pieces of the chain that the target is
// believed to hold. It allocates nothing.
func (s *Store) Cached(ref Ref, chain []prefix.Hash) int {
	if ref == 0 {
		return 0
	}
	for i, hash := range chain {
		at, ok := s.index[key{uint32(ref), hash}]
		if !ok || s.evicted(&s.entries.at[at]) {
			return i
		}
	}
	return len(chain)
}

// Stamp marks a moment in the order of uses of one target's pieces; the zero
// Stamp is before all uses.
type Stamp uint64

// Expect records the pieces that a request on its way to the target will
// leave there. It gives the stamp of the least recent use among those already
// believed, for Missed.
func (s *Store) Expect(id Identity, chain []prefix.Hash) Stamp {
	h := s.current(id)
	if h == nil {
		return 0
	}
	stamp := s.leastRecent(h, chain)
	s.addAll(h, chain)
	return stamp
}

// leastRecent is the stamp of the least recently used believed leading piece.
func (s *Store) leastRecent(h *holder, chain []prefix.Hash) Stamp {
	var least uint64
	for i, hash := range chain {
		at, ok := s.index[key{h.generation, hash}]
		if !ok {
			break
		}
		if used := s.entries.at[at].used; i == 0 || used < least {
			least = used
		}
	}
	return Stamp(least)
}

// Missed takes in that a target had evicted pieces of a chain that Expect gave
// the stamp for. Engines evict what was used least recently, so all that was
// not used since is gone too.
func (s *Store) Missed(id Identity, stamp Stamp) {
	h := s.current(id)
	if h == nil {
		return
	}
	for at := h.first; at != none; {
		e := &s.entries.at[at]
		next := e.next
		if e.used <= uint64(stamp) {
			s.remove(at)
		}
		at = next
	}
}

// Answered takes in an answer: the target prefilled the whole prompt, so it
// holds the whole chain now.
func (s *Store) Answered(id Identity, chain []prefix.Hash) {
	s.Expect(id, chain)
}

// Failed takes back what Expect recorded for a request that the target did
// not prefill; the first kept pieces were held before.
func (s *Store) Failed(id Identity, chain []prefix.Hash, kept int) {
	if h := s.current(id); h != nil && kept < len(chain) {
		s.removeAll(h, chain[kept:])
	}
}

// Stored applies a cache event: the target holds these pieces.
func (s *Store) Stored(id Identity, pieces []prefix.Hash) {
	if h := s.current(id); h != nil {
		s.addAll(h, pieces)
	}
}

// Evicted applies a cache event: the target holds these pieces no longer.
func (s *Store) Evicted(id Identity, pieces []prefix.Hash) {
	if h := s.current(id); h != nil {
		s.removeAll(h, pieces)
	}
}

// Cleared applies a cache event: the target holds nothing.
func (s *Store) Cleared(id Identity) {
	if h := s.current(id); h != nil {
		s.drop(h)
	}
}

// current is the holder when id is still its identity. Events and answers are
// late; those of an ended identity say nothing about the present cache.
func (s *Store) current(id Identity) *holder {
	h := s.holders[id.Target]
	if h == nil || h.identity != id {
		return nil
	}
	return h
}

func (s *Store) addAll(h *holder, pieces []prefix.Hash) {
	s.uses++
	for _, hash := range pieces {
		k := key{h.generation, hash}
		if at, ok := s.index[k]; ok {
			s.entries.touch(at)
			s.entries.at[at].used, s.entries.at[at].takenAt = s.uses, h.taken
			continue
		}
		if len(s.index) >= s.maxEntries {
			s.remove(s.entries.oldest())
		}
		at := s.entries.insert(k, h)
		s.entries.at[at].used, s.entries.at[at].takenAt = s.uses, h.taken
		s.index[k] = at
	}
}

func (s *Store) removeAll(h *holder, pieces []prefix.Hash) {
	for _, hash := range pieces {
		if at, ok := s.index[key{h.generation, hash}]; ok {
			s.remove(at)
		}
	}
}

func (s *Store) remove(at int32) {
	delete(s.index, s.entries.at[at].key)
	s.entries.remove(at)
}

// drop forgets every entry of one target.
func (s *Store) drop(h *holder) {
	for h.first != none {
		s.remove(h.first)
	}
}
