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

// An engine crashes and comes back empty. Its last cache events and an answer
// from before the crash arrive after the first report of the new incarnation.
// Counting on them would send requests to an empty cache as if it were warm.
func TestLateMessagesOfDeadIncarnationAreIgnored(t *testing.T) {
	is := is.New(t)
	s := New(1 << 20)
	old := Identity{"t1", "i1", "v1"}
	oldRef := s.Observe(1, old)
	s.Answered(old, chain)
	is.Equal(s.Cached(oldRef, chain), 3)

	fresh := s.Observe(3, Identity{"t1", "i2", "v1"})
	s.Stored(old, chain)
	s.Answered(old, chain)
	is.Equal(s.Observe(2, old), fresh) // a crossed report does not bring i1 back
	is.Equal(s.Cached(fresh, chain), 0)
	is.Equal(s.Cached(oldRef, chain), 0)
	is.Equal(s.Len(), 0)
}

func TestWeightsChangeDropsEntries(t *testing.T) {
	is := is.New(t)
	s := New(1 << 20)
	id := Identity{"t1", "i1", "v1"}
	s.Observe(1, id)
	s.Answered(id, chain)
	ref := s.Observe(2, Identity{"t1", "i1", "v2"})
	is.Equal(s.Cached(ref, chain), 0)
	ref = s.Observe(3, id) // rolled back: the cache was cleared on the way
	is.Equal(s.Cached(ref, chain), 0)
}

func TestEvictionCutsKnownPrefix(t *testing.T) {
	is := is.New(t)
	s := New(1 << 20)
	id := Identity{"t1", "i1", "v1"}
	ref := s.Observe(1, id)
	s.Answered(id, chain)
	s.Evicted(id, chain[1:2])
	is.Equal(s.Cached(ref, chain), 1)
	s.Cleared(id)
	is.Equal(s.Cached(ref, chain), 0)
}

func TestFailedRequestLeavesNoEntries(t *testing.T) {
	is := is.New(t)
	s := New(1 << 20)
	id := Identity{"t1", "i1", "v1"}
	ref := s.Observe(1, id)
	s.Answered(id, chain[:1])
	s.AddExpected(id, chain)
	s.Failed(id, chain, 1)
	is.Equal(s.Cached(ref, chain), 1)
}

func TestBudgetForgetsLeastRecentlyUsed(t *testing.T) {
	is := is.New(t)
	s := New(3 * EntryBytes)
	id := Identity{"t1", "i1", "v1"}
	ref := s.Observe(1, id)
	s.Answered(id, chain)
	s.Answered(id, []prefix.Hash{1, 2, 9}) // 3 was used least recently
	is.Equal(s.Len(), 3)
	is.Equal(s.Cached(ref, chain), 2)
}

// An answer tells that the engine had evicted a piece. Everything used before
// it must be gone as well; counted on, each piece would cost a miss of its
// own to learn about.
func TestMissDropsWhatWasUsedBefore(t *testing.T) {
	is := is.New(t)
	s := New(1 << 20)
	id := Identity{"t1", "i1", "v1"}
	ref := s.Observe(1, id)
	s.Answered(id, []prefix.Hash{10})
	s.Answered(id, chain)
	s.Answered(id, []prefix.Hash{20})
	stamp := s.AddExpected(id, chain)
	s.RecordMiss(id, stamp)
	is.Equal(s.Cached(ref, []prefix.Hash{10}), 0)
	is.Equal(s.Cached(ref, []prefix.Hash{20}), 1)
	is.Equal(s.Cached(ref, chain), 3) // prefilled again by this request
}

// Engines crash, change weights and send late events in any order. Nothing is
// ever known that was not said by the present incarnation on the present
// weights, and the budget holds.
func TestPropertyEntriesAreOfPresentIdentityOnly(t *testing.T) {
	const budget = 8
	rapid.Check(t, func(t *rapid.T) {
		s := New(budget * EntryBytes)
		targets := []string{"t1", "t2"}
		present := map[string]Identity{}
		said := map[Identity]map[prefix.Hash]bool{}
		past := []Identity{}
		asked := map[Identity]time.Duration{}
		for step := range 80 {
			now := time.Duration(step)
			name := rapid.SampledFrom(targets).Draw(t, "target")
			id := present[name]
			switch op := rapid.IntRange(0, 5).Draw(t, "op"); {
			case op == 0 || id == Identity{}:
				id = Identity{name, fmt.Sprint("i", step), rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version")}
				present[name] = id
				said[id] = map[prefix.Hash]bool{}
				past = append(past, id)
				asked[id] = now
				s.Observe(now, id)
			case op == 1: // a late message of any identity there ever was
				late := rapid.SampledFrom(past).Draw(t, "late")
				s.Stored(late, []prefix.Hash{7})
				if late == present[late.Target] {
					said[late][7] = true
				}
				s.Observe(asked[late], late)
			default:
				h := prefix.Hash(rapid.IntRange(1, 12).Draw(t, "piece"))
				s.Answered(id, []prefix.Hash{h})
				said[id][h] = true
			}
			for _, id := range present {
				ref := s.Observe(now, id)
				for h := prefix.Hash(1); h <= 12; h++ {
					if s.Cached(ref, []prefix.Hash{h}) > 0 && !said[id][h] {
						t.Fatalf("%v known to hold %d", id, h)
					}
				}
			}
			if s.Len() > budget {
				t.Fatalf("%d entries over the budget", s.Len())
			}
		}
	})
}

// A dossier's opening was used on a target half a minute ago, and the own parts
// of two hundred prompts have gone through its cache since. A request sent there
// for it would compute it anew; so nothing is known of it any more, while
// what was used in between still is.
func TestPiecesAgeByWhatTheTargetTook(t *testing.T) {
	is := is.New(t)
	s := New(1 << 20)
	s.SetCapacity(1000)
	id := Identity{Target: "t", Incarnation: "i", Version: "v"}
	ref := s.Observe(0, id)
	old, fresh := []prefix.Hash{1, 2}, []prefix.Hash{3}
	s.AddExpected(id, old)
	s.AddInsertedTokens(id, 600)
	s.AddExpected(id, fresh)
	s.AddInsertedTokens(id, 600)
	is.Equal(s.Cached(ref, old), 0)
	is.Equal(s.Cached(ref, fresh), 1)
	s.AddExpected(id, old) // computed anew
	is.Equal(s.Cached(ref, old), 2)
	s.SetCapacity(0) // a target whose memory is not known evicts by nobody's count
	s.AddInsertedTokens(id, 1e9)
	is.Equal(s.Cached(ref, old), 2)
}
