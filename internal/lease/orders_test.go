package lease

import (
	"flag"
	"slices"
	"testing"

	"github.com/matryer/is"
)

// search walks all worlds within depth steps, breadth first, and returns the
// steps to the first one with two holders.
type search struct {
	seen   map[uint64]bool
	states int
	depth  int // up to which all orders were looked at
}

type node struct {
	w    *world
	path []string
}

func (s *search) run(w *world, depth, limit, onWay int) []string {
	s.seen = map[uint64]bool{w.print(): true}
	frontier := []node{{w: w}}
	for range depth {
		var nextFrontier []node
		for _, n := range frontier {
			var bad []string
			n.w.next(func(step string, c *world) {
				if bad != nil || len(c.appends)+len(c.calls) > onWay {
					return
				}
				id := c.print()
				if s.seen[id] {
					return
				}
				s.seen[id] = true
				s.states++
				path := append(slices.Clone(n.path), step)
				if l, f := c.holders(); l > 1 || f > 1 {
					bad = path
				}
				nextFrontier = append(nextFrontier, node{w: c, path: path})
			})
			if bad != nil {
				return bad
			}
			if s.states > limit {
				return nil
			}
		}
		s.depth++
		frontier = nextFrontier
	}
	return nil
}

// searchStates bounds each search; a run by hand can afford more than CI.
var searchStates = flag.Int("search.states", 25000, "states to look at in each search of orders")

// Two instances act on one lease: both may assume that they hold it only if
// records, promises, lost answers, pauses and restarts can be ordered badly.
// The search tries every order of a small fleet up to a depth.
func TestNoOrderGivesTwoHolders(t *testing.T) {
	for _, c := range []struct {
		name           string
		members, spare int
		depth, limit   int
	}{
		{"two members", 2, 0, 13, *searchStates},
		{"two members and a restart or a newcomer", 2, 1, 13, *searchStates},
		{"three members", 3, 0, 13, *searchStates},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &search{}
			if bad := s.run(newWorld(c.members, c.spare, 5*unit), c.depth, c.limit, 3); bad != nil {
				t.Fatalf("two holders after %q", bad)
			}
			t.Logf("%d states, all orders of %d steps", s.states, s.depth)
		})
	}
}

// A newcomer joins, the holder sees it and renews; the renewal lands but the
// holder is cut from the log before it reads it back. The log now lets the
// newcomer take over, so the promises of older members alone must not extend
// the lease: both would mint the same part of every rate.
func TestUnreadRenewalLetsNewcomerIn(t *testing.T) {
	is := is.New(t)
	w := newWorld(2, 1, 10*unit)
	holder, other := w.members[0], 1
	if !holder.h.Valid(holder.clock(w.now), slot) {
		holder, other = w.members[1], 0
	}
	own := 1 - other
	w.boot("a9", 1)
	w.turn(2, true)
	w.land(0) // the newcomer joins
	w.now += unit
	w.turn(own, true)
	w.land(0) // a renewal that has seen it, not read back
	w.turn(2, true)
	for range 4 {
		w.now += unit
		w.turn(own, false)
		for len(w.calls) > 0 {
			if w.calls[0].ask.Member.Address == "a9" {
				w.calls = w.calls[1:] // the newcomer does not promise
				continue
			}
			w.carry(0)
		}
		w.appends = nil // its renewals do not get through
	}
	w.turn(2, true)
	w.land(0) // the newcomer takes over
	w.turn(2, true)
	is.True(w.members[2].h.Valid(w.members[2].clock(w.now), slot))
	is.True(!holder.h.Valid(holder.clock(w.now), slot))
}

// An instance drains: it stops minting and gives its slot back, while its last
// renewal is still on the way. The renewal lands first and is read back. If it
// revived the lease, the instance would mint on while the next holder, let in
// by the leave behind it, mints too.
func TestRenewalOnTheWayDoesNotReviveAfterLeave(t *testing.T) {
	is := is.New(t)
	w := newWorld(2, 0, 10*unit)
	w.now += unit
	w.turn(0, true) // a renewal is on its way
	leave := w.members[0].h.Leave()
	w.land(0)
	w.turn(0, true)
	is.True(!w.members[0].h.Valid(w.members[0].clock(w.now), slot))
	is.Equal(len(w.members[0].h.Grants(w.members[0].clock(w.now))), 0)
	w.appends = append(w.appends, flight{by: 0, env: framed(w.members[0].h.settings.Self.ID, leave)})
	w.land(len(w.appends) - 1)
	w.turn(1, true)
	w.land(0)
	w.turn(1, true)
	is.True(w.members[1].h.Valid(w.members[1].clock(w.now), slot))
}
