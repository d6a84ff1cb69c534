package replica

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/mastictray/mastictray/internal/hubs"
	"github.com/mastictray/mastictray/internal/propertytest"
	"github.com/mastictray/mastictray/internal/wire"
)

func TestMain(m *testing.M) { propertytest.Main(m, 40) }

const (
	tickInterval   = 25 * time.Millisecond
	hubInterval    = 125 * time.Millisecond
	followInterval = 200 * time.Millisecond
	staleAfter     = 1300 * time.Millisecond
	// callTimeout is the duration of a call to an instance that does not respond.
	callTimeout = 800 * time.Millisecond
	lateAfter   = 300 * time.Millisecond
	retryAfter  = 2 * time.Second
	never       = -time.Hour
)

// simPeer is what a node knows of a peer.
type simPeer struct {
	identity    wire.Identity
	updatedAt   time.Duration
	failedAt    time.Duration
	callEnds    time.Duration // end of the call in flight
	calledAt    time.Duration
	sentVersion uint64
	cursor      wire.UpdateCursor
	fleetSize   int
}

// simNode is an instance.
type simNode struct {
	id    wire.Identity
	table *Table
	peers map[string]*simPeer
	next  time.Duration
	round int
	// down: the process does not run; unreachable: the host does not refuse
	// connections either.
	down, unreachable bool
	hub               bool
	calls             int

	spent  float64
	events uint64
	// seenSpent has the last total received of each incarnation, seenEvents the number
	// of its events received.
	seenSpent  map[string]float64
	seenEvents map[string]int
}

// fleetSim simulates a fleet.
type fleetSim struct {
	now   time.Duration
	rng   *rand.Rand
	nodes []*simNode
	// blocked reports whether calls from one node to another time out. lossRate is
	// the fraction of responses that are lost.
	blocked  func(from, to *simNode) bool
	lossRate float64
	// actualSpent and actualEvents are the true totals of each incarnation; violations
	// describes the received totals that decreased or exceeded them.
	actualSpent  map[string]float64
	actualEvents map[string]int
	violations   []string
}

func newFleetSim(domains, each int, seed uint64) *fleetSim {
	s := &fleetSim{
		rng: rand.New(rand.NewPCG(seed, 1)), blocked: func(*simNode, *simNode) bool { return false },
		actualSpent: map[string]float64{}, actualEvents: map[string]int{},
	}
	for i := range domains * each {
		s.addNode(fmt.Sprintf("d%d", i%domains), fmt.Sprintf("n%03d", i))
	}
	return s
}

func (s *fleetSim) addNode(domain, name string) *simNode {
	n := &simNode{id: wire.Identity{Instance: name, Domain: domain}}
	s.nodes = append(s.nodes, n)
	s.start(n)
	return n
}

// startWithOldAnnouncements starts a new process, which finds the announcements of all
// instances in the store, including those of processes that have ended.
func (s *fleetSim) startWithOldAnnouncements(n *simNode) {
	announced := map[string]wire.Identity{}
	for _, x := range s.nodes {
		announced[x.id.Instance] = x.id
	}
	s.start(n)
	for _, x := range s.nodes {
		if x != n && n.peers[x.id.Instance] == nil {
			n.peers[x.id.Instance] = &simPeer{identity: announced[x.id.Instance], updatedAt: never, failedAt: never}
		}
	}
}

// start starts a new process, which finds the running instances in the store.
func (s *fleetSim) start(n *simNode) {
	n.id.Incarnation = fmt.Sprintf("%s@%v", n.id.Instance, s.now)
	n.table = New(n.id, staleAfter)
	n.peers, n.seenSpent, n.seenEvents = map[string]*simPeer{}, map[string]float64{}, map[string]int{}
	n.spent, n.events, n.down, n.next = 0, 0, false, s.now+time.Duration(s.rng.Int64N(int64(300*time.Millisecond)))
	for _, x := range s.nodes {
		if x != n && !x.down {
			n.peers[x.id.Instance] = &simPeer{identity: x.id, updatedAt: never, failedAt: never}
		}
	}
}

func (s *fleetSim) run(d time.Duration) {
	for end := s.now + d; s.now < end; s.now += tickInterval {
		for _, n := range s.nodes {
			if !n.down && s.now >= n.next {
				s.tick(n)
			}
		}
	}
}

// spend adds to a node's total and makes an event.
func (s *fleetSim) spend(n *simNode) {
	n.spent += float64(1 + s.rng.IntN(100))
	s.actualSpent[n.id.Incarnation] = n.spent
	s.actualEvents[n.id.Incarnation]++
	n.table.AddEvent(wire.InstanceEvent{CrashFingerprint: 1})
}

func (s *fleetSim) tick(n *simNode) {
	n.table.Publish(s.now, wire.InstanceState{}, map[string]float64{"a": n.spent})
	candidates := make([]hubs.Peer, 0, len(n.peers))
	fleetSize := 1 + len(n.peers)
	for name, p := range n.peers {
		fleetSize = max(fleetSize, p.fleetSize)
		fresh, calling := s.now-p.updatedAt <= staleAfter, s.now < p.callEnds
		candidates = append(candidates, hubs.Peer{
			Instance: hubs.Instance{Name: name, Domain: p.identity.Domain}, Fresh: fresh, CallInFlight: calling,
			CallLate:  calling && s.now-p.calledAt > lateAfter,
			Reachable: s.now-p.failedAt > retryAfter && (fresh || p.updatedAt == never),
		})
	}
	plan := hubs.PlanCalls(hubs.Instance{Name: n.id.Instance, Domain: n.id.Domain}, candidates, fleetSize, n.round)
	n.round++
	n.hub, n.next = plan.Hub, s.now+hubInterval
	if !plan.Hub {
		n.next = s.now + followInterval
	}
	for _, c := range plan.Calls {
		n.calls++
		s.call(n, n.peers[c.Name], c.Follow, plan.Hub)
	}
}

func (s *fleetSim) find(name string) *simNode {
	for _, x := range s.nodes {
		if x.id.Instance == name {
			return x
		}
	}
	return nil
}

func (s *fleetSim) call(n *simNode, p *simPeer, follow, hub bool) {
	to := s.find(p.identity.Instance)
	p.calledAt = s.now
	if to.down && !to.unreachable {
		p.failedAt = s.now // the host refuses the connection
		return
	}
	if to.down || s.blocked(n, to) {
		p.callEnds, p.failedAt = s.now+callTimeout, s.now+callTimeout
		return
	}
	version := n.table.Cursor().Version
	needsResync := p.sentVersion > 0 && to.id.Incarnation != p.identity.Incarnation
	if !needsResync {
		needsResync = s.merge(to, n.table.UpdatesSince(s.now, p.sentVersion, ScopeFollowers, OriginID(p.identity.Incarnation)), follow && !hub)
	}
	var updates []wire.InstanceUpdate
	newCursor := p.cursor
	if follow {
		newCursor = to.table.Cursor()
		updates = to.table.UpdatesSince(s.now, to.table.VersionOf(p.cursor), ScopeAll, OriginID(n.id.Incarnation))
	}
	if s.rng.Float64() < s.lossRate {
		p.failedAt = s.now
		return
	}
	p.failedAt = never
	if s.merge(n, updates, false) {
		newCursor = wire.UpdateCursor{}
	}
	if to.id.Incarnation != p.identity.Incarnation {
		p.sentVersion, p.cursor = 0, wire.UpdateCursor{}
		return
	}
	p.sentVersion, p.cursor, p.fleetSize = version, newCursor, 1+len(to.peers)
	if needsResync {
		p.sentVersion = 0
	}
}

func (s *fleetSim) merge(n *simNode, updates []wire.InstanceUpdate, forward bool) bool {
	changes, incomplete := n.table.Merge(s.now, updates, forward)
	for _, c := range changes {
		id := c.Identity
		if total, ok := c.Spent["a"]; ok {
			if total < n.seenSpent[id.Incarnation] || total > s.actualSpent[id.Incarnation] {
				s.violations = append(s.violations, fmt.Sprintf("%v %s of %s: %v after %v, of %v", s.now, n.id.Instance, id.Incarnation, total, n.seenSpent[id.Incarnation], s.actualSpent[id.Incarnation]))
			}
			n.seenSpent[id.Incarnation] = total
		}
		n.seenEvents[id.Incarnation] += len(c.Events)
		if n.seenEvents[id.Incarnation] > s.actualEvents[id.Incarnation] {
			s.violations = append(s.violations, "event received twice of "+id.Incarnation)
		}
		if id.Instance == n.id.Instance {
			continue
		}
		p := n.peers[id.Instance]
		if p == nil || p.identity.Incarnation != id.Incarnation && c.At > p.updatedAt {
			p = &simPeer{identity: id, failedAt: never}
			n.peers[id.Instance] = p
		}
		if p.identity.Incarnation == id.Incarnation {
			p.updatedAt = c.At
		}
	}
	return incomplete
}

// disagreement describes a running node that lacks the current total of another running
// node; empty if there is none.
func (s *fleetSim) disagreement() string {
	for _, n := range s.nodes {
		for _, x := range s.nodes {
			if inc := x.id.Incarnation; n != x && !n.down && !x.down && n.seenSpent[inc] != s.actualSpent[inc] {
				return fmt.Sprintf("%s has %v of %s, which has %v", n.id.Instance, n.seenSpent[inc], inc, s.actualSpent[inc])
			}
		}
	}
	return ""
}

func (s *fleetSim) hubsOf(domain string) (out []*simNode) {
	for _, n := range s.nodes {
		if n.hub && !n.down && n.id.Domain == domain {
			out = append(out, n)
		}
	}
	return out
}

// Guards against totals that are counted twice, decrease, or do not converge when
// hubs restart, change, or are partitioned.
func TestTotalsConvergeAfterPartitionsAndRestarts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newFleetSim(rapid.IntRange(1, 4).Draw(rt, "domains"), rapid.IntRange(2, 12).Draw(rt, "each"), rapid.Uint64().Draw(rt, "seed"))
		s.lossRate = rapid.Float64Range(0, 0.3).Draw(rt, "lost")
		for range rapid.IntRange(1, 12).Draw(rt, "faults") {
			s.injectFault(rt)
			for range 8 {
				s.spend(s.nodes[s.rng.IntN(len(s.nodes))])
				s.run(50 * time.Millisecond)
			}
		}
		s.lossRate, s.blocked = 0, func(*simNode, *simNode) bool { return false }
		for _, n := range s.nodes {
			if n.down {
				s.start(n)
			}
		}
		s.run(6 * time.Second)
		if len(s.violations) > 0 {
			rt.Fatal(s.violations[0])
		}
		if difference := s.disagreement(); difference != "" {
			rt.Fatal(difference)
		}
	})
}

// injectFault draws a fault, the end of one, or a new node.
func (s *fleetSim) injectFault(rt *rapid.T) {
	pick := func(name string) *simNode { return s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(rt, name)] }
	switch rapid.SampledFrom([]string{"stop", "restart", "cut", "one way", "heal", "join"}).Draw(rt, "fault") {
	case "stop":
		n := pick("node")
		n.down, n.unreachable = true, rapid.Bool().Draw(rt, "lost")
	case "restart":
		s.start(pick("node"))
	case "cut":
		domain := pick("node").id.Domain
		s.blocked = func(from, to *simNode) bool { return (from.id.Domain == domain) != (to.id.Domain == domain) }
	case "one way":
		a, b := pick("from").id.Instance, pick("to").id.Instance
		s.blocked = func(from, to *simNode) bool { return from.id.Instance == a && to.id.Instance == b }
	case "heal":
		s.blocked = func(*simNode, *simNode) bool { return false }
	case "join":
		if len(s.nodes) < 60 {
			s.addNode(pick("node").id.Domain, fmt.Sprintf("j%03d", len(s.nodes)))
		}
	}
}

// Guards against a message load per instance that grows with the fleet.
func TestCallsPerInstanceAreBounded(t *testing.T) {
	is := is.New(t)
	for _, each := range []int{13, 39} {
		s := newFleetSim(5, each, 1)
		s.run(2 * time.Second)
		for _, n := range s.nodes {
			n.calls = 0
		}
		s.run(2 * time.Second)
		followers, most := 0, 0
		for _, n := range s.nodes {
			if !n.hub {
				followers++
				is.True(n.calls <= 10) // one every 200 ms
			}
			most = max(most, n.calls)
		}
		is.Equal(followers, 5*(each-hubs.HubsPerDomain(each)))
		is.True(most <= 16*(5*hubs.HubsPerDomain(each)-1)) // the other hubs, every 125 ms
	}
}

// Guards against a domain whose totals are lost with its hubs.
func TestTotalsSurviveLossOfHubs(t *testing.T) {
	is := is.New(t)
	s := newFleetSim(5, 39, 2)
	s.run(2 * time.Second)
	for _, n := range s.nodes {
		s.spend(n)
	}
	s.run(100 * time.Millisecond)
	lost := s.hubsOf("d0")
	is.Equal(len(lost), 2)
	for _, n := range lost {
		n.down, n.unreachable = true, true
	}
	s.run(2 * time.Second)
	is.Equal(s.disagreement(), "")
	is.Equal(s.violations, nil)
}

// Guards against a slow recovery after most of the fleet is lost at once: only
// instances that report get a share of the accounts' rates.
func TestSurvivorsReconnect(t *testing.T) {
	is := is.New(t)
	s := newFleetSim(5, 39, 3)
	s.run(2 * time.Second)
	for i, n := range s.nodes {
		n.down, n.unreachable = i%13 != 0, true // three per domain survive
	}
	s.run(3 * time.Second)
	for _, n := range s.nodes {
		if !n.down {
			s.spend(n)
		}
	}
	s.run(time.Second)
	is.Equal(s.disagreement(), "")
}

// Guards against instances that stay unknown when dozens join at once, and against a
// number of calls per instance that grows with the number of joins.
func TestMassJoinConvergesQuickly(t *testing.T) {
	is := is.New(t)
	s := newFleetSim(5, 16, 4)
	s.run(2 * time.Second)
	for i := range 60 {
		s.addNode(fmt.Sprintf("d%d", i%5), fmt.Sprintf("x%03d", i))
	}
	for _, n := range s.nodes {
		n.calls = 0
		s.spend(n)
	}
	s.run(2 * time.Second)
	is.Equal(s.disagreement(), "")
	for _, n := range s.nodes {
		is.True(n.calls <= 16*(5*hubs.HubsPerDomain(28)+4))
	}
}

// Guards against a domain that stays unknown to the others after a partition heals.
func TestPartitionedDomainReconnects(t *testing.T) {
	is := is.New(t)
	s := newFleetSim(5, 16, 5)
	s.run(2 * time.Second)
	s.blocked = func(from, to *simNode) bool { return (from.id.Domain == "d0") != (to.id.Domain == "d0") }
	for _, n := range s.nodes {
		s.spend(n)
	}
	s.run(6 * time.Second)
	is.True(s.disagreement() != "")
	s.blocked = func(*simNode, *simNode) bool { return false }
	s.run(3 * time.Second)
	is.Equal(s.disagreement(), "")
	is.Equal(s.violations, nil)
}

// Guards against slow convergence after a restart of the whole fleet: until then each
// account gets only a part of its rate.
func TestRestartedFleetConvergesQuickly(t *testing.T) {
	is := is.New(t)
	s := newFleetSim(5, 20, 6)
	s.run(2 * time.Second)
	restarted, startAt := s.now, map[*simNode]time.Duration{}
	for _, n := range s.nodes {
		n.down, n.unreachable = true, false
		startAt[n] = restarted + time.Duration(s.rng.Int64N(int64(600*time.Millisecond)))
	}
	for s.now < restarted+4*time.Second {
		for _, n := range s.nodes {
			if n.down && s.now >= startAt[n] {
				s.startWithOldAnnouncements(n)
				s.spend(n)
			}
		}
		s.run(tickInterval)
		if s.now > restarted+700*time.Millisecond && s.disagreement() == "" {
			break
		}
	}
	t.Logf("converged after %v", s.now-restarted)
	is.True(s.now-restarted <= 2*time.Second) // followers do not wait for failed hubs
}
