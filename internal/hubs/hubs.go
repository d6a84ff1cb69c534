// Package hubs selects the peers with which an instance exchanges state.
//
// A small fleet is a full mesh: each instance calls every other one. In a larger
// fleet the message load of an instance would grow with the fleet, and with it
// the age of its information. There, each failure domain has a few hubs. Every
// other instance follows one hub of its domain: the hub forwards the instance's
// state and responds with the state of all others. The hubs of all domains call
// each other.
//
// Each instance selects hubs independently, by the same ranking of the instances
// that it considers reachable. Instances with different views select different
// hubs for a while. Correctness does not depend on agreement: any instance
// responds to one that follows it, and a copy of state is only replaced by a
// newer one (package replica).
//
// The package does no I/O and does not read the clock.
package hubs

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
)

const (
	// MaxMeshSize is the size of the largest fleet that is a full mesh.
	MaxMeshSize = 20
	// minHubsPerDomain leaves a failure domain that loses a hub another one with the
	// same state.
	minHubsPerDomain = 2
	// followersPerHub is the maximum number of instances of a domain per hub.
	followersPerHub = 24
	// maxProbes bounds the calls that a hub makes in one round to instances of its
	// domain without a recent update.
	maxProbes = 4
	// maxFollowCalls bounds the calls that a follower makes in one round while
	// earlier ones are late.
	maxFollowCalls = 8
)

// Instance has the properties by which instances are ranked.
type Instance struct {
	Name   string
	Domain string
	// Capacity is its spare capacity for the work of a hub.
	Capacity int
}

// Compare ranks instances for work that only some of them do, such as that of a hub. The
// first one is preferred: instances are ordered by descending capacity, then by name.
func Compare(a, b Instance) int {
	return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.Name, b.Name))
}

// Peer is another instance as this one sees it.
type Peer struct {
	Instance
	// Reachable is set if a call is likely to succeed: there is a recent update of
	// the peer, or it was found in the store and has not been called yet.
	Reachable bool
	// Fresh is set if there is a recent update of the peer.
	Fresh bool
	// CallInFlight is set while a call to the peer is in flight, CallLate once that
	// takes longer than usual.
	CallInFlight, CallLate bool
}

// Call is a call to make in this round.
type Call struct {
	Name string
	// Follow requests the state of all instances that the peer knows.
	Follow bool
}

// Plan is an instance's role and its calls in one round.
type Plan struct {
	// Mesh is set if the fleet is a full mesh.
	Mesh bool
	// Hub is set if this instance is a hub; in a mesh each one is.
	Hub   bool
	Calls []Call
}

// PlanCalls plans the calls of an instance in one round. fleetSize may be larger than
// the number of known peers; round counts the calls to PlanCalls.
func PlanCalls(self Instance, peers []Peer, fleetSize, round int) Plan {
	peers = slices.SortedFunc(slices.Values(peers), func(a, b Peer) int { return Compare(a.Instance, b.Instance) })
	if fleetSize <= MaxMeshSize {
		return meshPlan(peers)
	}
	byDomain := map[string][]Peer{}
	for _, x := range peers {
		byDomain[x.Domain] = append(byDomain[x.Domain], x)
	}
	own, n := reachablePeers(byDomain[self.Domain]), HubsPerDomain(1+len(byDomain[self.Domain]))
	var p Plan
	if countRankedBefore(self, own) >= n {
		p.followHub(self, own[:n], own)
		return p
	}
	p.Hub = true
	for _, x := range firstN(own, n-1) {
		p.addCall(x, true)
	}
	p.probeSilentPeers(byDomain[self.Domain], round)
	delete(byDomain, self.Domain)
	for _, domain := range slices.Sorted(maps.Keys(byDomain)) {
		p.callDomainHubs(byDomain[domain], round)
	}
	return p
}

// meshPlan returns a plan that calls all peers.
func meshPlan(peers []Peer) Plan {
	p := Plan{Mesh: true, Hub: true}
	for _, x := range peers {
		p.addCall(x, false)
	}
	return p
}

// countRankedBefore counts the peers that rank before an instance.
func countRankedBefore(self Instance, peers []Peer) int {
	n := 0
	for _, x := range peers {
		if Compare(x.Instance, self) < 0 {
			n++
		}
	}
	return n
}

// HubsPerDomain returns the number of hubs of a failure domain.
func HubsPerDomain(instances int) int {
	return max(minHubsPerDomain, (instances+followersPerHub-1)/followersPerHub)
}

// addCall adds a call unless one to the peer is in flight.
func (p *Plan) addCall(x Peer, follow bool) {
	if !x.CallInFlight {
		p.Calls = append(p.Calls, Call{Name: x.Name, Follow: follow})
	}
}

// followHub calls one hub. Followers start at different hubs to spread the load.
// Each late call doubles the number of calls, since many instances may be lost at
// once; the other instances of the domain are called when the hubs are exhausted.
func (p *Plan) followHub(self Instance, hubs, own []Peer) {
	late, waiting := 0, false
	for _, x := range own {
		if x.CallLate {
			late++
		}
		waiting = waiting || x.CallInFlight && !x.CallLate
	}
	if waiting {
		return
	}
	start := int(hashName(self.Name) % uint32(len(hubs)))
	candidates := append(slices.Clone(hubs[start:]), hubs[:start]...)
	candidates = append(candidates, own[len(hubs):]...)
	calls := min(1<<late, maxFollowCalls)
	for _, x := range candidates {
		if len(p.Calls) < calls && !x.CallLate {
			p.addCall(x, true)
		}
	}
}

// probeSilentPeers follows some instances of the own domain that have no recent update.
// Either they have not found this instance yet, or this one has no recent updates of
// anyone, as after a suspension, and only seems to be a hub.
func (p *Plan) probeSilentPeers(members []Peer, round int) {
	silent := slices.DeleteFunc(slices.Clone(members), func(x Peer) bool { return x.Fresh })
	p.callRotating(silent, maxProbes, true, round)
}

// callDomainHubs calls the hubs of another domain. If none of its instances counts as
// reachable, the domain was partitioned or lost. Then it calls those that rank first,
// which are the hubs if they are up, and some of the others in rotation.
func (p *Plan) callDomainHubs(members []Peer, round int) {
	n := HubsPerDomain(len(members))
	hubs := firstN(reachablePeers(members), n)
	if len(hubs) == 0 {
		hubs = firstN(members, n)
		p.callRotating(members[len(hubs):], n, false, round)
	}
	for _, x := range hubs {
		p.addCall(x, false)
	}
}

// callRotating calls n of the peers, different ones in each round.
func (p *Plan) callRotating(peers []Peer, n int, follow bool, round int) {
	for i := range min(n, len(peers)) {
		p.addCall(peers[(round*n+i)%len(peers)], follow)
	}
}

// reachablePeers returns the peers that are likely to respond.
func reachablePeers(peers []Peer) []Peer {
	return slices.DeleteFunc(slices.Clone(peers), func(x Peer) bool { return !x.Reachable })
}

func firstN(peers []Peer, n int) []Peer { return peers[:min(n, len(peers))] }

func hashName(name string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	return h.Sum32()
}
