package storeindex

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/prefix"
)

func TestIndexFollowsTheStore(t *testing.T) {
	chain := []prefix.Hash{1, 2, 3}
	held := func(pieces ...prefix.Hash) []Event {
		var out []Event
		for _, p := range pieces {
			out = append(out, Event{Scope: "s", Piece: p, Stored: true})
		}
		return out
	}
	cases := map[string]struct {
		do   func(*Index)
		want int
	}{
		"nothing heard":      {func(x *Index) { x.RecordSave(0, "s", chain) }, 0},
		"all held":           {func(x *Index) { x.Apply(0, EventBatch{BootEpoch: 1, Events: held(1, 2, 3)}) }, 3},
		"a gap in the chain": {func(x *Index) { x.Apply(0, EventBatch{BootEpoch: 1, Events: held(1, 3)}) }, 1},
		"own save counts":    {func(x *Index) { x.Apply(0, EventBatch{BootEpoch: 1}); x.RecordSave(0, "s", chain) }, 3},
		"another scope's":    {func(x *Index) { x.Apply(0, EventBatch{BootEpoch: 1}); x.RecordSave(0, "t", chain) }, 0},
		"dropped":            {func(x *Index) { x.Apply(0, EventBatch{BootEpoch: 1, Events: append(held(1, 2), Event{"s", 1, false})}) }, 0},
		"restarted empty": {func(x *Index) {
			x.Apply(0, EventBatch{BootEpoch: 1, Events: held(1, 2)})
			x.Apply(0, EventBatch{BootEpoch: 2})
		}, 0},
		"events were lost": {func(x *Index) {
			x.Apply(0, EventBatch{BootEpoch: 1, Events: held(1, 2)})
			x.Apply(0, EventBatch{BootEpoch: 1, Gap: true})
		}, 0},
		"does not answer": {func(x *Index) { x.Apply(0, EventBatch{BootEpoch: 1, Events: held(1)}); x.MarkUnreachable() }, 0},
		"answers again as was": {func(x *Index) {
			x.Apply(0, EventBatch{BootEpoch: 1, Events: held(1)})
			x.MarkUnreachable()
			x.Apply(0, EventBatch{BootEpoch: 1})
		}, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			x := New()
			c.do(x)
			is.Equal(x.LeadingStored(0, "s", chain), c.want)
		})
	}
}

// In a large fleet few instances read a store's events; the others hear from
// peers that it lives and what was saved. What it has evicted nobody tells
// them: a save counts for a while only.
func TestUnfollowedSavesEnd(t *testing.T) {
	is := is.New(t)
	chain := []prefix.Hash{1, 2}
	x := New()
	x.MarkReachable(1)
	x.RecordSave(0, "s", chain)
	is.Equal(x.LeadingStored(unfollowedFor, "s", chain), 2)
	is.Equal(x.LeadingStored(unfollowedFor+1, "s", chain), 0)
	x.RecordSave(time.Minute, "s", chain)
	x.MarkReachable(2) // it came back empty
	is.Equal(x.LeadingStored(time.Minute, "s", chain), 0)
}
