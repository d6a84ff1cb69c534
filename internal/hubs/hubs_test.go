package hubs

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// fleet is peers of n000 in domains d0, d1 and so on, all alive.
func fleet(domains, each int) (self Instance, peers []Peer) {
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

// as is the fleet as another instance sees it.
func as(name string, self Instance, peers []Peer) (Instance, []Peer) {
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

func change(peers []Peer, name string, with func(*Peer)) {
	for i := range peers {
		if peers[i].Name == name {
			with(&peers[i])
		}
	}
}

func names(p Plan) (out []string) {
	for _, c := range p.Calls {
		out = append(out, c.Name)
	}
	return out
}

func TestSmallFleetIsAMesh(t *testing.T) {
	is := is.New(t)
	self, peers := fleet(3, 6)
	p := PlanCalls(self, peers, 18, 0)
	is.True(p.Mesh && p.Hub)
	is.Equal(len(p.Calls), 17)
	for _, c := range p.Calls {
		is.True(!c.Follow)
	}
}

func TestHubsCallEachOther(t *testing.T) {
	is := is.New(t)
	self, peers := fleet(5, 10)
	p := PlanCalls(self, peers, 50, 0)
	is.True(p.Hub && !p.Mesh)
	is.Equal(names(p), []string{"n005", "n001", "n006", "n002", "n007", "n003", "n008", "n004", "n009"})
	is.True(p.Calls[0].Follow) // the other hub of the domain knows what came to it only
	is.True(!p.Calls[1].Follow)
}

func TestOthersFollowOneHub(t *testing.T) {
	is := is.New(t)
	self, peers := fleet(5, 10)
	chosen := map[string]int{}
	for i := 2; i < 10; i++ {
		follower, others := as(fmt.Sprintf("n%03d", i*5), self, peers)
		p := PlanCalls(follower, others, 50, 0)
		is.True(!p.Hub)
		is.Equal(len(p.Calls), 1)
		is.True(p.Calls[0].Follow)
		chosen[p.Calls[0].Name]++
	}
	is.Equal(len(chosen), 2) // each of the two has some
}

// Guards against a small machine that gets the work of a hub beside its own.
func TestLargeInstancesAreHubs(t *testing.T) {
	is := is.New(t)
	self, peers := fleet(5, 10)
	for _, name := range []string{"n040", "n045"} {
		change(peers, name, func(x *Peer) { x.Capacity = 5 })
	}
	is.True(!PlanCalls(self, peers, 50, 0).Hub)
}

// Guards against an instance that waits for a hub which is frozen, and against
// one that searches the survivors of a large loss one by one.
func TestLateHubsAreReplaced(t *testing.T) {
	is := is.New(t)
	self, peers := fleet(5, 39)
	follower, others := as("n100", self, peers)
	first := PlanCalls(follower, others, 195, 0).Calls[0].Name
	change(others, first, func(x *Peer) { x.CallInFlight = true })
	is.Equal(names(PlanCalls(follower, others, 195, 1)), nil) // it may answer yet
	change(others, first, func(x *Peer) { x.CallLate = true })
	p := PlanCalls(follower, others, 195, 2)
	is.Equal(len(p.Calls), 2)
	for _, c := range p.Calls {
		change(others, c.Name, func(x *Peer) { x.CallInFlight, x.CallLate = true, true })
	}
	is.Equal(len(PlanCalls(follower, others, 195, 3).Calls), maxTries)
}

// Guards against a domain without hubs once the chosen ones have failed.
func TestNextInOrderBecomesHub(t *testing.T) {
	is := is.New(t)
	self, peers := fleet(5, 10)
	third, others := as("n010", self, peers)
	is.True(!PlanCalls(third, others, 50, 0).Hub)
	change(others, "n005", func(x *Peer) { x.Reachable = false })
	is.True(PlanCalls(third, others, 50, 0).Hub)
}

// Guards against a domain that was cut off and is called by nobody as it comes
// back.
func TestSilentDomainIsTriedOverAndOver(t *testing.T) {
	is := is.New(t)
	self, peers := fleet(5, 10)
	for i := range peers {
		if peers[i].Domain == "d1" {
			peers[i].Reachable, peers[i].Fresh = false, false
		}
	}
	tried := map[string]bool{}
	for turn := range 8 {
		calls := map[string]bool{}
		for _, name := range names(PlanCalls(self, peers, 50, turn)) {
			tried[name], calls[name] = true, true
		}
		is.True(calls["n001"] && calls["n006"]) // its hubs, if they are alive
	}
	for _, x := range peers {
		is.True(x.Domain != "d1" || tried[x.Name])
	}
}

// Guards against an instance that wakes up, takes all others for silent, and
// learns nothing of them until they call it.
func TestInstanceWithoutUpdatesAsksForAll(t *testing.T) {
	is := is.New(t)
	self, peers := fleet(5, 10)
	for i := range peers {
		peers[i].Reachable, peers[i].Fresh = false, false
	}
	p := PlanCalls(self, peers, 50, 0)
	asked := 0
	for _, c := range p.Calls {
		if c.Follow {
			asked++
		}
	}
	is.Equal(asked, maxProbes)
}

// Guards against an instance that knows a few of a large fleet and calls these
// as in a small one, where none passes on what it knows.
func TestFleetIsAsLargeAsPeersSay(t *testing.T) {
	is := is.New(t)
	self, peers := fleet(5, 2)
	is.True(PlanCalls(self, peers, 10, 0).Mesh)
	is.True(!PlanCalls(self, peers, 195, 0).Mesh)
}
