package streamorigin

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Key identifies a stream by the caller's attempt that brought its first event.
type Key uint64

// KeyOf returns the key of the stream that an attempt began.
func KeyOf(attempt string) Key { return Key(xxhash.Sum64String(attempt)) }

// maxGeneration bounds the streams of one generation of a Table.
const maxGeneration = 1 << 17

// Table holds the origins of streams for Retention or longer. With too many of them, the
// oldest are dropped earlier. It is not safe for concurrent use.
type Table struct {
	// current has the streams recorded since rotatedAt, previous those of the generation
	// before. The values are indices in origins.
	current, previous map[Key]int
	rotatedAt         time.Duration
	origins           []Origin
	indices           map[Origin]int
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{current: map[Key]int{}, indices: map[Origin]int{}} }

// Record records the origin of a stream. The first record of a stream counts.
func (t *Table) Record(now time.Duration, key Key, o Origin) {
	if now-t.rotatedAt >= Retention || len(t.current) >= maxGeneration {
		t.previous, t.current, t.rotatedAt = t.current, map[Key]int{}, now
	}
	if known, ok := t.previous[key]; ok {
		t.current[key] = known
	}
	if _, ok := t.current[key]; ok {
		return
	}
	i, ok := t.indices[o]
	if !ok {
		i = len(t.origins)
		t.origins, t.indices[o] = append(t.origins, o), i
	}
	t.current[key] = i
}

// Find returns the origin of a stream.
func (t *Table) Find(key Key) (Origin, bool) {
	i, ok := t.current[key]
	if !ok {
		i, ok = t.previous[key]
	}
	if !ok {
		return Origin{}, false
	}
	return t.origins[i], true
}
