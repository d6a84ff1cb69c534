package storeindex

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/prefix"
)

func TestIndexFollowsTheStore(t *testing.T) {
	chain := []prefix.Hash{1, 2, 3}
	stored := func(pieces ...prefix.Hash) []Event {
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
		"no response yet":       {func(x *Index) { x.RecordSave(0, "s", chain) }, 0},
		"all stored":            {func(x *Index) { x.Apply(0, EventBatch{BootEpoch: 1, Events: stored(1, 2, 3)}) }, 3},
		"gap in the prefix":     {func(x *Index) { x.Apply(0, EventBatch{BootEpoch: 1, Events: stored(1, 3)}) }, 1},
		"recorded save":         {func(x *Index) { x.Apply(0, EventBatch{BootEpoch: 1}); x.RecordSave(0, "s", chain) }, 3},
		"save of another scope": {func(x *Index) { x.Apply(0, EventBatch{BootEpoch: 1}); x.RecordSave(0, "t", chain) }, 0},
		"evicted": {func(x *Index) {
			x.Apply(0, EventBatch{BootEpoch: 1, Events: append(stored(1, 2), Event{"s", 1, false})})
		}, 0},
		"restart": {func(x *Index) {
			x.Apply(0, EventBatch{BootEpoch: 1, Events: stored(1, 2)})
			x.Apply(0, EventBatch{BootEpoch: 2})
		}, 0},
		"lost events": {func(x *Index) {
			x.Apply(0, EventBatch{BootEpoch: 1, Events: stored(1, 2)})
			x.Apply(0, EventBatch{BootEpoch: 1, Gap: true})
		}, 0},
		"unreachable": {func(x *Index) { x.Apply(0, EventBatch{BootEpoch: 1, Events: stored(1)}); x.MarkUnreachable() }, 0},
		"reachable again without a restart": {func(x *Index) {
			x.Apply(0, EventBatch{BootEpoch: 1, Events: stored(1)})
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

// In a large fleet few instances read a store's events. The others learn from
// peers that it is reachable and what was saved, but not what it evicts, so
// they must expire saves.
func TestUnfollowedSavesExpire(t *testing.T) {
	is := is.New(t)
	chain := []prefix.Hash{1, 2}
	x := New()
	x.MarkReachable(1)
	x.RecordSave(0, "s", chain)
	is.Equal(x.LeadingStored(unfollowedTTL, "s", chain), 2)
	is.Equal(x.LeadingStored(unfollowedTTL+1, "s", chain), 0)
	x.RecordSave(time.Minute, "s", chain)
	x.MarkReachable(2) // a restart empties the store
	is.Equal(x.LeadingStored(time.Minute, "s", chain), 0)
}
