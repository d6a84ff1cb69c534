package cacheindex

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/mastictray/mastictray/internal/prefix"
	"github.com/mastictray/mastictray/internal/propertytest"
)

func TestMain(m *testing.M) { propertytest.Main(m, 200) }

var chain = []prefix.Hash{1, 2, 3}

// An engine crashes and restarts with an empty cache. Its last cache events, and a
// status answer from before the crash, arrive after the first status of the new
// incarnation. If they were applied, requests would be sent to an empty cache as if it
// had the pieces.
func TestLateMessagesOfEarlierIncarnationAreIgnored(t *testing.T) {
	is := is.New(t)
	index := New(1 << 20)
	old := Identity{"t1", "i1", "v1"}
	oldRef := index.Observe(1, old)
	index.Answered(old, chain)
	is.Equal(index.Cached(oldRef, chain), 3)

	fresh := index.Observe(3, Identity{"t1", "i2", "v1"})
	index.Stored(old, chain)
	index.Answered(old, chain)
	is.Equal(index.Observe(2, old), fresh) // an older status does not restore i1
	is.Equal(index.Cached(fresh, chain), 0)
	is.Equal(index.Cached(oldRef, chain), 0)
	is.Equal(index.Len(), 0)
}

func TestWeightsChangeDropsEntries(t *testing.T) {
	is := is.New(t)
	index := New(1 << 20)
	id := Identity{"t1", "i1", "v1"}
	index.Observe(1, id)
	index.Answered(id, chain)
	ref := index.Observe(2, Identity{"t1", "i1", "v2"})
	is.Equal(index.Cached(ref, chain), 0)
	ref = index.Observe(3, id) // rolled back, with the cache cleared in between
	is.Equal(index.Cached(ref, chain), 0)
}

func TestEvictionShortensCachedPrefix(t *testing.T) {
	is := is.New(t)
	index := New(1 << 20)
	id := Identity{"t1", "i1", "v1"}
	ref := index.Observe(1, id)
	index.Answered(id, chain)
	index.Evicted(id, chain[1:2])
	is.Equal(index.Cached(ref, chain), 1)
	index.Cleared(id)
	is.Equal(index.Cached(ref, chain), 0)
}

func TestFailedRequestLeavesNoEntries(t *testing.T) {
	is := is.New(t)
	index := New(1 << 20)
	id := Identity{"t1", "i1", "v1"}
	ref := index.Observe(1, id)
	index.Answered(id, chain[:1])
	index.AddExpected(id, chain)
	index.Failed(id, chain, 1)
	is.Equal(index.Cached(ref, chain), 1)
}

func TestBudgetRemovesLeastRecentlyUsed(t *testing.T) {
	is := is.New(t)
	index := New(3 * EntryBytes)
	id := Identity{"t1", "i1", "v1"}
	ref := index.Observe(1, id)
	index.Answered(id, chain)
	index.Answered(id, []prefix.Hash{1, 2, 9}) // 3 was used least recently
	is.Equal(index.Len(), 3)
	is.Equal(index.Cached(ref, chain), 2)
}

// An answer shows that the engine had evicted a piece. Every piece used earlier must
// be removed too; otherwise each of them would cost another cache miss to discover.
func TestMissRemovesLessRecentlyUsedPieces(t *testing.T) {
	is := is.New(t)
	index := New(1 << 20)
	id := Identity{"t1", "i1", "v1"}
	ref := index.Observe(1, id)
	index.Answered(id, []prefix.Hash{10})
	index.Answered(id, chain)
	index.Answered(id, []prefix.Hash{20})
	stamp := index.AddExpected(id, chain)
	index.RecordMiss(id, stamp)
	is.Equal(index.Cached(ref, []prefix.Hash{10}), 0)
	is.Equal(index.Cached(ref, []prefix.Hash{20}), 1)
	is.Equal(index.Cached(ref, chain), 3) // prefilled again by this request
}

// Engines crash, change weights and send late events in any order. The index must only
// contain pieces reported by the current incarnation with the current weights, and
// must stay within its budget.
func TestPropertyEntriesBelongToCurrentIdentity(t *testing.T) {
	const budget = 8
	rapid.Check(t, func(t *rapid.T) {
		index := New(budget * EntryBytes)
		targets := []string{"t1", "t2"}
		current := map[string]Identity{}
		reported := map[Identity]map[prefix.Hash]bool{}
		identities := []Identity{}
		queriedAt := map[Identity]time.Duration{}
		for step := range 80 {
			now := time.Duration(step)
			name := rapid.SampledFrom(targets).Draw(t, "target")
			id := current[name]
			switch op := rapid.IntRange(0, 5).Draw(t, "op"); {
			case op == 0 || id == Identity{}:
				id = Identity{name, fmt.Sprint("i", step), rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version")}
				current[name] = id
				reported[id] = map[prefix.Hash]bool{}
				identities = append(identities, id)
				queriedAt[id] = now
				index.Observe(now, id)
			case op == 1: // a late message of a current or earlier identity
				late := rapid.SampledFrom(identities).Draw(t, "late")
				index.Stored(late, []prefix.Hash{7})
				if late == current[late.Target] {
					reported[late][7] = true
				}
				index.Observe(queriedAt[late], late)
			default:
				h := prefix.Hash(rapid.IntRange(1, 12).Draw(t, "piece"))
				index.Answered(id, []prefix.Hash{h})
				reported[id][h] = true
			}
			for _, id := range current {
				ref := index.Observe(now, id)
				for h := prefix.Hash(1); h <= 12; h++ {
					if index.Cached(ref, []prefix.Hash{h}) > 0 && !reported[id][h] {
						t.Fatalf("%v: entry for piece %d that it did not report", id, h)
					}
				}
			}
			if index.Len() > budget {
				t.Fatalf("%d entries exceed the budget", index.Len())
			}
		}
	})
}

// A piece has not been used while a whole cache of other tokens was inserted at its
// target. It must be presumed evicted, because a request sent there for it would
// recompute it. Pieces used in the meantime must remain known.
func TestPiecesArePresumedEvictedAfterCacheRefill(t *testing.T) {
	is := is.New(t)
	index := New(1 << 20)
	index.SetCapacity(1000)
	id := Identity{Target: "t", Incarnation: "i", Version: "v"}
	ref := index.Observe(0, id)
	old, fresh := []prefix.Hash{1, 2}, []prefix.Hash{3}
	index.AddExpected(id, old)
	index.AddInsertedTokens(id, 600)
	index.AddExpected(id, fresh)
	index.AddInsertedTokens(id, 600)
	is.Equal(index.Cached(ref, old), 0)
	is.Equal(index.Cached(ref, fresh), 1)
	index.AddExpected(id, old) // recomputed
	is.Equal(index.Cached(ref, old), 2)
	index.SetCapacity(0) // without a known capacity, no piece is presumed evicted
	index.AddInsertedTokens(id, 1e9)
	is.Equal(index.Cached(ref, old), 2)
}
