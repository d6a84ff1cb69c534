// Package hubs chooses with which other instances an instance exchanges state.
//
// A small fleet is a full mesh: each instance calls each other one. In a larger
// one, the messages of one instance would grow with the fleet, and so would the
// age of what it knows. There, each failure domain has a few hubs: an instance
// follows one hub of its domain, which passes its state on, and answers with
// what it knows of all; the hubs of all domains call each other.
//
// Every instance chooses by itself, by the same order over those that it takes
// to be alive. Two that see different ones choose different hubs for a while.
// Nothing depends on their agreement: any instance answers one that follows it,
// and copies of state are replaced by newer ones only (package replica).
//
// The package is pure.
package hubs

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
)

const (
	// MaxMeshSize is the largest fleet in which each instance calls each other one.
	MaxMeshSize = 20
	// minHubs is the hubs of a failure domain, so that the loss of one leaves
	// another that knows as much.
	minHubs = 2
	// followersPerHub bounds the instances that one hub answers.
	followersPerHub = 24
	// maxProbes bounds the calls to instances without an update that a hub makes
	// at a time.
	maxProbes = 4
	// maxTries bounds the hubs that an instance calls at a time while some do
	// not answer.
	maxTries = 8
)

// Instance is what the order of duties depends on.
type Instance struct {
	Name   string
	Domain string
	// Capacity is the hubs' work that it can do beside its own.
	Capacity int
}

// Compare orders instances by which of them takes a duty first: those that bear
// it best, then by name.
func Compare(a, b Instance) int {
	return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.Name, b.Name))
}

// Peer is another instance as this one sees it.
type Peer struct {
	Instance
	// Reachable says that it may be called with a good chance of an answer: there is
	// a recent update of it, or it was found in the store and not called yet.
	Reachable bool
	// Fresh says that there is a recent update of it.
	Fresh bool
	// CallInFlight says that a call to it is under way; CallLate that this takes longer
	// than usual.
	CallInFlight, CallLate bool
}

// Call is a call to make now.
type Call struct {
	Name string
	// Follow asks for all that the peer knows.
	Follow bool
}

// Plan is what an instance is to do now.
type Plan struct {
	// Mesh is set where each instance calls each other one.
	Mesh bool
	// Hub says that this instance is a hub.
	Hub   bool
	Calls []Call
}

// PlanCalls plans the calls of an instance in a fleet of that size, which may be
// larger than what it knows of. turn counts its plans.
func PlanCalls(self Instance, peers []Peer, fleet, turn int) Plan {
	peers = slices.SortedFunc(slices.Values(peers), func(a, b Peer) int { return Compare(a.Instance, b.Instance) })
	if fleet <= MaxMeshSize {
		return mesh(peers)
	}
	byDomain := map[string][]Peer{}
	for _, x := range peers {
		byDomain[x.Domain] = append(byDomain[x.Domain], x)
	}
	own, n := alive(byDomain[self.Domain]), HubsPerDomain(1+len(byDomain[self.Domain]))
	var p Plan
	if countBefore(self, own) >= n {
		p.follow(self, own[:n], own)
		return p
	}
	p.Hub = true
	for _, x := range first(own, n-1) {
		p.call(x, true)
	}
	p.probe(byDomain[self.Domain], turn)
	delete(byDomain, self.Domain)
	for _, domain := range slices.Sorted(maps.Keys(byDomain)) {
		p.reach(byDomain[domain], turn)
	}
	return p
}

// mesh calls all peers.
func mesh(peers []Peer) Plan {
	p := Plan{Mesh: true, Hub: true}
	for _, x := range peers {
		p.call(x, false)
	}
	return p
}

// countBefore counts the peers that come before an instance in the order of
// duties.
func countBefore(self Instance, peers []Peer) int {
	n := 0
	for _, x := range peers {
		if Compare(x.Instance, self) < 0 {
			n++
		}
	}
	return n
}

// HubsPerDomain is the number of hubs of a failure domain with so many instances.
func HubsPerDomain(instances int) int {
	return max(minHubs, (instances+followersPerHub-1)/followersPerHub)
}

// call adds a call, unless one is under way.
func (p *Plan) call(x Peer, follow bool) {
	if !x.CallInFlight {
		p.Calls = append(p.Calls, Call{Name: x.Name, Follow: follow})
	}
}

// follow calls one hub. Instances start at different hubs, so that each has its
// part. While calls are late, twice as many instances are called with each of
// them: many may be gone at once.
func (p *Plan) follow(self Instance, hubs, own []Peer) {
	late, calling := 0, false
	for _, x := range own {
		if x.CallLate {
			late++
		}
		calling = calling || x.CallInFlight && !x.CallLate
	}
	if calling {
		return
	}
	at := int(number(self.Name) % uint32(len(hubs)))
	order := append(slices.Clone(hubs[at:]), hubs[:at]...)
	order = append(order, own[len(hubs):]...)
	want := min(1<<late, maxTries)
	for _, x := range order {
		if len(p.Calls) < want && !x.CallLate {
			p.call(x, true)
		}
	}
}

// probe asks some members of the own domain without an update for all that they
// know. Either they have not found this instance, or this one takes others for
// silent, as after a suspension, and is not the hub that it seems to be.
func (p *Plan) probe(members []Peer, turn int) {
	silent := slices.DeleteFunc(slices.Clone(members), func(x Peer) bool { return x.Fresh })
	p.rotate(silent, maxProbes, true, turn)
}

// reach calls the hubs of another domain. Where none is known to be alive, it was
// cut off or lost: its first members are called, which are its hubs if they are
// alive, and the others in turn.
func (p *Plan) reach(members []Peer, turn int) {
	n := HubsPerDomain(len(members))
	hubs := first(alive(members), n)
	if len(hubs) == 0 {
		hubs = first(members, n)
		p.rotate(members[len(hubs):], n, false, turn)
	}
	for _, x := range hubs {
		p.call(x, false)
	}
}

// rotate calls some of the peers, others at each turn.
func (p *Plan) rotate(peers []Peer, n int, follow bool, turn int) {
	for i := range min(n, len(peers)) {
		p.call(peers[(turn*n+i)%len(peers)], follow)
	}
}

// alive are the peers that will probably answer.
func alive(peers []Peer) []Peer {
	return slices.DeleteFunc(slices.Clone(peers), func(x Peer) bool { return !x.Reachable })
}

func first(peers []Peer, n int) []Peer { return peers[:min(n, len(peers))] }

func number(name string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	return h.Sum32()
}
