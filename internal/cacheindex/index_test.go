package cacheindex

import (
	"testing"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/prefix"
)

func TestIndexFollowsTheStore(t *testing.T) {
	chain := []prefix.Hash{1, 2, 3}
	held := func(pieces ...prefix.Hash) []Event {
		var out []Event
		for _, p := range pieces {
			out = append(out, Event{Scope: "s", Piece: p, Held: true})
		}
		return out
	}
	cases := map[string]struct {
		do   func(*Index)
		want int
	}{
		"nothing heard":        {func(x *Index) { x.Saved("s", chain) }, 0},
		"all held":             {func(x *Index) { x.Apply(News{Boot: 1, Events: held(1, 2, 3)}) }, 3},
		"a gap in the chain":   {func(x *Index) { x.Apply(News{Boot: 1, Events: held(1, 3)}) }, 1},
		"own save counts":      {func(x *Index) { x.Apply(News{Boot: 1}); x.Saved("s", chain) }, 3},
		"another scope's":      {func(x *Index) { x.Apply(News{Boot: 1}); x.Saved("t", chain) }, 0},
		"dropped":              {func(x *Index) { x.Apply(News{Boot: 1, Events: append(held(1, 2), Event{"s", 1, false})}) }, 0},
		"restarted empty":      {func(x *Index) { x.Apply(News{Boot: 1, Events: held(1, 2)}); x.Apply(News{Boot: 2}) }, 0},
		"events were lost":     {func(x *Index) { x.Apply(News{Boot: 1, Events: held(1, 2)}); x.Apply(News{Boot: 1, Lost: true}) }, 0},
		"does not answer":      {func(x *Index) { x.Apply(News{Boot: 1, Events: held(1)}); x.Down() }, 0},
		"answers again as was": {func(x *Index) { x.Apply(News{Boot: 1, Events: held(1)}); x.Down(); x.Apply(News{Boot: 1}) }, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			x := New()
			c.do(x)
			is.Equal(x.Holds("s", chain), c.want)
		})
	}
}
