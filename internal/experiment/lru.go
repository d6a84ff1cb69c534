package experiment

import (
	"container/list"

	"github.com/mastictray/mastictray/internal/prefix"
)

// lru is the LRU prefix cache of an engine.
type lru struct {
	capacity int
	recency  *list.List // most recently used first
	entries  map[prefix.Hash]*list.Element
}

func newLRU(capacity int) *lru {
	return &lru{capacity: capacity, recency: list.New(), entries: map[prefix.Hash]*list.Element{}}
}

// prefixLen returns the number of leading pieces of the chain that are cached.
func (l *lru) prefixLen(chain []prefix.Hash) int {
	for i, h := range chain {
		if l.entries[h] == nil {
			return i
		}
	}
	return len(chain)
}

// touch marks the pieces of the chain as used, caching those that are missing, and
// returns the stored and the evicted pieces. The first piece becomes the most
// recently used, so that it is evicted after the pieces that depend on it.
func (l *lru) touch(chain []prefix.Hash) (stored, evicted []prefix.Hash) {
	for i := len(chain) - 1; i >= 0; i-- {
		h := chain[i]
		if e := l.entries[h]; e != nil {
			l.recency.MoveToFront(e)
			continue
		}
		l.entries[h] = l.recency.PushFront(h)
		stored = append(stored, h)
	}
	for l.recency.Len() > l.capacity {
		back := l.recency.Back()
		h := l.recency.Remove(back).(prefix.Hash)
		delete(l.entries, h)
		evicted = append(evicted, h)
	}
	return stored, evicted
}
