package engine

import (
	"container/list"

	"github.com/mastictray/mastictray/internal/prefix"
)

// piece is one cached block. The account stands beside the hash so that an
// import cannot hand one account's block to another.
type piece struct {
	hash    prefix.Hash
	account string
}

// cache is an LRU of pieces. It is not safe for concurrent use.
type cache struct {
	size  int
	order *list.List // front is the most recently used
	byKey map[piece]*list.Element
}

func newCache(size int) *cache {
	return &cache{size: size, order: list.New(), byKey: map[piece]*list.Element{}}
}

// match is how many pieces of the chain, from its start, are cached. It marks
// them as used.
func (c *cache) match(account string, chain []prefix.Hash) int {
	for i, h := range chain {
		e, ok := c.byKey[piece{h, account}]
		if !ok {
			return i
		}
		c.order.MoveToFront(e)
	}
	return len(chain)
}

// has reports whether one piece is cached, without marking it as used.
func (c *cache) has(account string, h prefix.Hash) bool {
	_, ok := c.byKey[piece{h, account}]
	return ok
}

// store caches the chain and returns the pieces that are new and those that
// had to go. The last piece goes in first, so that an opening outlives what
// builds on it.
func (c *cache) store(account string, chain []prefix.Hash) (stored, evicted []prefix.Hash) {
	for i := len(chain) - 1; i >= 0; i-- {
		key := piece{chain[i], account}
		if e, ok := c.byKey[key]; ok {
			c.order.MoveToFront(e)
			continue
		}
		c.byKey[key] = c.order.PushFront(key)
		stored = append(stored, chain[i])
	}
	for c.order.Len() > c.size {
		old := c.order.Remove(c.order.Back()).(piece)
		delete(c.byKey, old)
		evicted = append(evicted, old.hash)
	}
	return stored, evicted
}

func (c *cache) clear() {
	c.order.Init()
	clear(c.byKey)
}
