package experiment

import (
	"container/list"

	"github.com/mastictray/mastictray/internal/prefix"
)

// lru is an engine's limited prefix cache.
type lru struct {
	capacity int
	order    *list.List // front is the newest
	at       map[prefix.Hash]*list.Element
}

func newLRU(capacity int) *lru {
	return &lru{capacity: capacity, order: list.New(), at: map[prefix.Hash]*list.Element{}}
}

// lead is the number of leading pieces held.
func (l *lru) lead(chain []prefix.Hash) int {
	for i, h := range chain {
		if l.at[h] == nil {
			return i
		}
	}
	return len(chain)
}

// use makes the chain the newest, root first to go last, and returns the
// pieces that were stored and evicted.
func (l *lru) use(chain []prefix.Hash) (stored, evicted []prefix.Hash) {
	for i := len(chain) - 1; i >= 0; i-- {
		h := chain[i]
		if e := l.at[h]; e != nil {
			l.order.MoveToFront(e)
			continue
		}
		l.at[h] = l.order.PushFront(h)
		stored = append(stored, h)
	}
	for l.order.Len() > l.capacity {
		back := l.order.Back()
		h := l.order.Remove(back).(prefix.Hash)
		delete(l.at, h)
		evicted = append(evicted, h)
	}
	return stored, evicted
}
