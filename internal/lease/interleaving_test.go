package lease

import (
	"flag"
	"slices"
	"testing"

	"github.com/matryer/is"
)

// stateSearch is a breadth-first search over simulation states.
type stateSearch struct {
	visited        map[uint64]bool
	states         int
	exhaustedDepth int // up to which all interleavings were searched
}

type searchNode struct {
	sim  *simulation
	path []string
}

// findTwoHolders searches all states within depth steps, until more than limit
// states were visited. It returns the steps to the first state in which two
// members may use the lease, or its floor, at a time.
func (s *stateSearch) findTwoHolders(sim *simulation, depth, limit, maxInFlight int) []string {
	s.visited = map[uint64]bool{sim.fingerprint(): true}
	frontier := []searchNode{{sim: sim}}
	for range depth {
		var nextFrontier []searchNode
		for _, n := range frontier {
			var violation []string
			n.sim.eachSuccessor(func(step string, c *simulation) {
				if violation != nil || len(c.pendingAppends)+len(c.pendingCalls) > maxInFlight {
					return
				}
				fingerprint := c.fingerprint()
				if s.visited[fingerprint] {
					return
				}
				s.visited[fingerprint] = true
				s.states++
				path := append(slices.Clone(n.path), step)
				if l, f := c.countHolders(); l > 1 || f > 1 {
					violation = path
				}
				nextFrontier = append(nextFrontier, searchNode{sim: c, path: path})
			})
			if violation != nil {
				return violation
			}
			if s.states > limit {
				return nil
			}
		}
		s.exhaustedDepth++
		frontier = nextFrontier
	}
	return nil
}

// searchStates bounds each search. The default suits CI.
var searchStates = flag.Int("search.states", 25000, "states to visit in each search")

// Guards against two instances that use one lease at a time. The search tries
// every interleaving of appends, promises, lost answers, pauses and restarts of
// a small fleet up to a depth.
func TestNoOrderGivesTwoHolders(t *testing.T) {
	for _, c := range []struct {
		name            string
		members, spares int
		depth, limit    int
	}{
		{"two members", 2, 0, 13, *searchStates},
		{"two members and a restart or a new member", 2, 1, 13, *searchStates},
		{"three members", 3, 0, 13, *searchStates},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &stateSearch{}
			if violation := s.findTwoHolders(newSimulation(c.members, c.spares, 5*unit), c.depth, c.limit, 3); violation != nil {
				t.Fatalf("two holders after %q", violation)
			}
			t.Logf("%d states, all interleavings of %d steps", s.states, s.exhaustedDepth)
		})
	}
}

// Guards against two holders after a join. A new member joins, the holder
// applies the join and renews. The renewal reaches the log, but the holder
// loses its connection to the log before it reads the renewal back. The log now
// lets the new member take over, so promises of the older members alone must
// not extend the lease: both would issue the same part of every rate.
func TestUnreadRenewalAdmitsNewMember(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(2, 1, 10*unit)
	holder, other := sim.members[0], 1
	if !holder.h.Valid(holder.clock(sim.trueTime), slot) {
		holder, other = sim.members[1], 0
	}
	own := 1 - other
	sim.startProcess("a9", 1)
	sim.runProcess(2, true)
	sim.deliverAppend(0) // the new member joins
	sim.trueTime += unit
	sim.runProcess(own, true)
	sim.deliverAppend(0) // a renewal written after the join was applied, not read back
	sim.runProcess(2, true)
	for range 4 {
		sim.trueTime += unit
		sim.runProcess(own, false)
		for len(sim.pendingCalls) > 0 {
			if sim.pendingCalls[0].request.Member.Address == "a9" {
				sim.pendingCalls = sim.pendingCalls[1:] // the new member does not promise
				continue
			}
			sim.deliverCall(0)
		}
		sim.pendingAppends = nil // its renewals are lost
	}
	sim.runProcess(2, true)
	sim.deliverAppend(0) // the new member takes over
	sim.runProcess(2, true)
	is.True(sim.members[2].h.Valid(sim.members[2].clock(sim.trueTime), slot))
	is.True(!holder.h.Valid(holder.clock(sim.trueTime), slot))
}

// Guards against a lease that is used again after Leave. An instance drains: it
// stops issuing and appends a leave while its last renewal is still in flight.
// The renewal reaches the log first and is read back. If it made the lease
// valid again, the instance would issue together with the next holder, which
// the leave record admits.
func TestInFlightRenewalDoesNotReviveLeaseAfterLeave(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(2, 0, 10*unit)
	sim.trueTime += unit
	sim.runProcess(0, true) // a renewal is in flight
	leave := sim.members[0].h.Leave()
	sim.deliverAppend(0)
	sim.runProcess(0, true)
	is.True(!sim.members[0].h.Valid(sim.members[0].clock(sim.trueTime), slot))
	is.Equal(len(sim.members[0].h.Grants(sim.members[0].clock(sim.trueTime))), 0)
	sim.pendingAppends = append(sim.pendingAppends, pendingAppend{member: 0, env: encodeRecord(sim.members[0].h.settings.Self.ID, leave)})
	sim.deliverAppend(len(sim.pendingAppends) - 1)
	sim.runProcess(1, true)
	sim.deliverAppend(0)
	sim.runProcess(1, true)
	is.True(sim.members[1].h.Valid(sim.members[1].clock(sim.trueTime), slot))
}
