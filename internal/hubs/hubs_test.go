package hubs

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// newFleet returns instance n000 and its peers n001, n002 and so on, spread over
// domains d0, d1 and so on, all reachable.
func newFleet(domains, each int) (self Instance, peers []Peer) {
	for i := range domains * each {
		x := Instance{Name: fmt.Sprintf("n%03d", i), Domain: fmt.Sprintf("d%d", i%domains), Capacity: 1}
		if i == 0 {
			self = x
			continue
		}
		peers = append(peers, Peer{Instance: x, Reachable: true, Fresh: true})
	}
	return self, peers
}

// viewFrom returns the fleet as seen by the named instance.
func viewFrom(name string, self Instance, peers []Peer) (Instance, []Peer) {
	out := []Peer{{Instance: self, Reachable: true, Fresh: true}}
	for _, x := range peers {
		if x.Name == name {
			self = x.Instance
		} else {
			out = append(out, x)
		}
	}
	return self, out
}

func modify(peers []Peer, name string, apply func(*Peer)) {
	for i := range peers {
		if peers[i].Name == name {
			apply(&peers[i])
		}
	}
}

func calledNames(p Plan) (out []string) {
	for _, c := range p.Calls {
		out = append(out, c.Name)
	}
	return out
}

func TestSmallFleetIsAMesh(t *testing.T) {
	is := is.New(t)
	self, peers := newFleet(3, 6)
	p := PlanCalls(self, peers, 18, 0)
	is.True(p.Mesh && p.Hub)
	is.Equal(len(p.Calls), 17)
	for _, c := range p.Calls {
		is.True(!c.Follow)
	}
}

func TestHubsCallHubsOfAllDomains(t *testing.T) {
	is := is.New(t)
	self, peers := newFleet(5, 10)
	p := PlanCalls(self, peers, 50, 0)
	is.True(p.Hub && !p.Mesh)
	is.Equal(calledNames(p), []string{"n005", "n001", "n006", "n002", "n007", "n003", "n008", "n004", "n009"})
	is.True(p.Calls[0].Follow) // only the domain's other hub has the state of its followers
	is.True(!p.Calls[1].Follow)
}

func TestFollowersCallOneHub(t *testing.T) {
	is := is.New(t)
	self, peers := newFleet(5, 10)
	chosen := map[string]int{}
	for i := 2; i < 10; i++ {
		follower, others := viewFrom(fmt.Sprintf("n%03d", i*5), self, peers)
		p := PlanCalls(follower, others, 50, 0)
		is.True(!p.Hub)
		is.Equal(len(p.Calls), 1)
		is.True(p.Calls[0].Follow)
		chosen[p.Calls[0].Name]++
	}
	is.Equal(len(chosen), 2) // both hubs have followers
}

// Guards against giving the work of a hub to an instance without spare capacity.
func TestInstancesWithCapacityAreHubs(t *testing.T) {
	is := is.New(t)
	self, peers := newFleet(5, 10)
	for _, name := range []string{"n040", "n045"} {
		modify(peers, name, func(x *Peer) { x.Capacity = 5 })
	}
	is.True(!PlanCalls(self, peers, 50, 0).Hub)
}

// Guards against a follower that waits for a suspended hub, and against one that
// tries the survivors of a large loss one at a time.
func TestLateCallsAreDuplicated(t *testing.T) {
	is := is.New(t)
	self, peers := newFleet(5, 39)
	follower, others := viewFrom("n100", self, peers)
	first := PlanCalls(follower, others, 195, 0).Calls[0].Name
	modify(others, first, func(x *Peer) { x.CallInFlight = true })
	is.Equal(calledNames(PlanCalls(follower, others, 195, 1)), nil) // not late yet
	modify(others, first, func(x *Peer) { x.CallLate = true })
	p := PlanCalls(follower, others, 195, 2)
	is.Equal(len(p.Calls), 2)
	for _, c := range p.Calls {
		modify(others, c.Name, func(x *Peer) { x.CallInFlight, x.CallLate = true, true })
	}
	is.Equal(len(PlanCalls(follower, others, 195, 3).Calls), maxFollowCalls)
}

// Guards against a domain without hubs after its hubs have failed.
func TestNextInRankBecomesHub(t *testing.T) {
	is := is.New(t)
	self, peers := newFleet(5, 10)
	third, others := viewFrom("n010", self, peers)
	is.True(!PlanCalls(third, others, 50, 0).Hub)
	modify(others, "n005", func(x *Peer) { x.Reachable = false })
	is.True(PlanCalls(third, others, 50, 0).Hub)
}

// Guards against a domain that is not called by any hub when a partition heals.
func TestUnreachableDomainIsRetried(t *testing.T) {
	is := is.New(t)
	self, peers := newFleet(5, 10)
	for i := range peers {
		if peers[i].Domain == "d1" {
			peers[i].Reachable, peers[i].Fresh = false, false
		}
	}
	tried := map[string]bool{}
	for round := range 8 {
		calls := map[string]bool{}
		for _, name := range calledNames(PlanCalls(self, peers, 50, round)) {
			tried[name], calls[name] = true, true
		}
		is.True(calls["n001"] && calls["n006"]) // its hubs, if they are up
	}
	for _, x := range peers {
		is.True(x.Domain != "d1" || tried[x.Name])
	}
}

// Guards against an instance that has no recent updates after a suspension and
// gets none until another instance calls it.
func TestInstanceWithoutUpdatesFollowsPeers(t *testing.T) {
	is := is.New(t)
	self, peers := newFleet(5, 10)
	for i := range peers {
		peers[i].Reachable, peers[i].Fresh = false, false
	}
	p := PlanCalls(self, peers, 50, 0)
	follows := 0
	for _, c := range p.Calls {
		if c.Follow {
			follows++
		}
	}
	is.Equal(follows, maxProbes)
}

// Guards against an instance that knows only a few peers of a large fleet and
// calls them as in a mesh, where no instance forwards updates.
func TestReportedFleetSizeRulesOutMesh(t *testing.T) {
	is := is.New(t)
	self, peers := newFleet(5, 2)
	is.True(PlanCalls(self, peers, 10, 0).Mesh)
	is.True(!PlanCalls(self, peers, 195, 0).Mesh)
}
