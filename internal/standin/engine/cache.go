package engine

import (
	"container/list"

	"github.com/mastictray/mastictray/internal/prefix"
)

// cacheKey identifies a cached piece. It includes the account so that an import
// cannot give one account access to the pieces of another.
type cacheKey struct {
	hash    prefix.Hash
	account string
}

// cache is an LRU cache of prompt pieces. It is not safe for concurrent use.
type cache struct {
	capacity int
	recency  *list.List // most recently used first
	entries  map[cacheKey]*list.Element
}

func newCache(size int) *cache {
	return &cache{capacity: size, recency: list.New(), entries: map[cacheKey]*list.Element{}}
}

// matchPrefix returns the number of leading pieces of the chain that are cached,
// and marks them as recently used.
func (c *cache) matchPrefix(account string, chain []prefix.Hash) int {
	for i, h := range chain {
		e, ok := c.entries[cacheKey{h, account}]
		if !ok {
			return i
		}
		c.recency.MoveToFront(e)
	}
	return len(chain)
}

// contains reports whether a piece is cached, without marking it as used.
func (c *cache) contains(account string, h prefix.Hash) bool {
	_, ok := c.entries[cacheKey{h, account}]
	return ok
}

// store caches the pieces of the chain and returns the new and the evicted pieces.
// It inserts the last piece first, so that a piece is evicted only after the
// pieces that depend on it.
func (c *cache) store(account string, chain []prefix.Hash) (stored, evicted []prefix.Hash) {
	for i := len(chain) - 1; i >= 0; i-- {
		key := cacheKey{chain[i], account}
		if e, ok := c.entries[key]; ok {
			c.recency.MoveToFront(e)
			continue
		}
		c.entries[key] = c.recency.PushFront(key)
		stored = append(stored, chain[i])
	}
	for c.recency.Len() > c.capacity {
		oldest := c.recency.Remove(c.recency.Back()).(cacheKey)
		delete(c.entries, oldest)
		evicted = append(evicted, oldest.hash)
	}
	return stored, evicted
}

func (c *cache) clear() {
	c.recency.Init()
	clear(c.entries)
}
