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
	simStep   = 25 * time.Millisecond
	simHub    = 125 * time.Millisecond
	simFollow = 200 * time.Millisecond
	simFresh  = 1300 * time.Millisecond
	// simTimeout is how long a call to an instance that does not answer is
	// under way.
	simTimeout = 800 * time.Millisecond
	simLate    = 300 * time.Millisecond
	simRetry   = 2 * time.Second
	simNever   = -time.Hour
)

// simPeer is what a node knows of another one.
type simPeer struct {
	identity wire.Identity
	updated  time.Duration
	failed   time.Duration
	until    time.Duration // end of a call under way
	called   time.Duration
	sent     uint64
	received wire.UpdateCursor
	fleet    int
}

// simNode is one instance: its table, what it counted, and what it took in.
type simNode struct {
	id    wire.Identity
	table *Table
	peers map[string]*simPeer
	next  time.Duration
	turn  int
	// down: it runs no process; lost: its machine does not answer either.
	down, lost bool
	hub        bool
	calls      int

	spent  float64
	events uint64
	// seen is the last count of each incarnation that was taken in, events the
	// number of events of each.
	seen       map[string]float64
	seenEvents map[string]int
}

// sim is a fleet in simulated time.
type sim struct {
	now   time.Duration
	rng   *rand.Rand
	nodes []*simNode
	// cut says that a call from one node to another gets nowhere, lost that its
	// answer is lost.
	cut  func(from, to *simNode) bool
	lost float64
	// actual is what each incarnation has counted, and backward the counts that
	// were seen to fall or to exceed that.
	actual   map[string]float64
	events   map[string]int
	backward []string
}

func newSim(domains, each int, seed uint64) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 1)), cut: func(*simNode, *simNode) bool { return false },
		actual: map[string]float64{}, events: map[string]int{},
	}
	for i := range domains * each {
		s.add(fmt.Sprintf("d%d", i%domains), fmt.Sprintf("n%03d", i))
	}
	return s
}

func (s *sim) add(domain, name string) *simNode {
	n := &simNode{id: wire.Identity{Instance: name, Domain: domain}}
	s.nodes = append(s.nodes, n)
	s.start(n)
	return n
}

// restart makes a new process, which finds all announcements in the store, also
// those of processes that are gone.
func (s *sim) restart(n *simNode) {
	was := map[string]wire.Identity{}
	for _, x := range s.nodes {
		was[x.id.Instance] = x.id
	}
	s.start(n)
	for _, x := range s.nodes {
		if x != n && n.peers[x.id.Instance] == nil {
			n.peers[x.id.Instance] = &simPeer{identity: was[x.id.Instance], updated: simNever, failed: simNever}
		}
	}
}

// start makes a new process, which finds the others in the store.
func (s *sim) start(n *simNode) {
	n.id.Incarnation = fmt.Sprintf("%s@%v", n.id.Instance, s.now)
	n.table = New(n.id, simFresh)
	n.peers, n.seen, n.seenEvents = map[string]*simPeer{}, map[string]float64{}, map[string]int{}
	n.spent, n.events, n.down, n.next = 0, 0, false, s.now+time.Duration(s.rng.Int64N(int64(300*time.Millisecond)))
	for _, x := range s.nodes {
		if x != n && !x.down {
			n.peers[x.id.Instance] = &simPeer{identity: x.id, updated: simNever, failed: simNever}
		}
	}
}

func (s *sim) run(d time.Duration) {
	for end := s.now + d; s.now < end; s.now += simStep {
		for _, n := range s.nodes {
			if !n.down && s.now >= n.next {
				s.act(n)
			}
		}
	}
}

// count makes a node spend and adds an event.
func (s *sim) count(n *simNode) {
	n.spent += float64(1 + s.rng.IntN(100))
	s.actual[n.id.Incarnation] = n.spent
	s.events[n.id.Incarnation]++
	n.table.AddEvent(wire.InstanceEvent{CrashFingerprint: 1})
}

func (s *sim) act(n *simNode) {
	n.table.Publish(s.now, wire.InstanceState{}, map[string]float64{"a": n.spent})
	view := make([]hubs.Peer, 0, len(n.peers))
	fleet := 1 + len(n.peers)
	for name, p := range n.peers {
		fleet = max(fleet, p.fleet)
		fresh, calling := s.now-p.updated <= simFresh, s.now < p.until
		view = append(view, hubs.Peer{
			Instance: hubs.Instance{Name: name, Domain: p.identity.Domain}, Fresh: fresh, CallInFlight: calling,
			CallLate:  calling && s.now-p.called > simLate,
			Reachable: s.now-p.failed > simRetry && (fresh || p.updated == simNever),
		})
	}
	plan := hubs.PlanCalls(hubs.Instance{Name: n.id.Instance, Domain: n.id.Domain}, view, fleet, n.turn)
	n.turn++
	n.hub, n.next = plan.Hub, s.now+simHub
	if !plan.Hub {
		n.next = s.now + simFollow
	}
	for _, c := range plan.Calls {
		n.calls++
		s.call(n, n.peers[c.Name], c.Follow, plan.Hub)
	}
}

func (s *sim) find(name string) *simNode {
	for _, x := range s.nodes {
		if x.id.Instance == name {
			return x
		}
	}
	return nil
}

func (s *sim) call(n *simNode, p *simPeer, follow, hub bool) {
	to := s.find(p.identity.Instance)
	p.called = s.now
	if to.down && !to.lost {
		p.failed = s.now // refused by its machine
		return
	}
	if to.down || s.cut(n, to) {
		p.until, p.failed = s.now+simTimeout, s.now+simTimeout
		return
	}
	version := n.table.Cursor().Version
	lacking := p.sent > 0 && to.id.Incarnation != p.identity.Incarnation
	if !lacking {
		lacking = s.take(to, n.table.UpdatesSince(s.now, p.sent, ScopeFollowers, OriginID(p.identity.Incarnation)), follow && !hub)
	}
	var answer []wire.InstanceUpdate
	place := p.received
	if follow {
		place = to.table.Cursor()
		answer = to.table.UpdatesSince(s.now, to.table.VersionOf(p.received), ScopeAll, OriginID(n.id.Incarnation))
	}
	if s.rng.Float64() < s.lost {
		p.failed = s.now
		return
	}
	p.failed = simNever
	if s.take(n, answer, false) {
		place = wire.UpdateCursor{}
	}
	if to.id.Incarnation != p.identity.Incarnation {
		p.sent, p.received = 0, wire.UpdateCursor{}
		return
	}
	p.sent, p.received, p.fleet = version, place, 1+len(to.peers)
	if lacking {
		p.sent = 0
	}
}

func (s *sim) take(n *simNode, updates []wire.InstanceUpdate, passOn bool) bool {
	changes, lacking := n.table.Merge(s.now, updates, passOn)
	for _, c := range changes {
		id := c.Identity
		if total, ok := c.Spent["a"]; ok {
			if total < n.seen[id.Incarnation] || total > s.actual[id.Incarnation] {
				s.backward = append(s.backward, fmt.Sprintf("%v %s of %s: %v after %v, of %v", s.now, n.id.Instance, id.Incarnation, total, n.seen[id.Incarnation], s.actual[id.Incarnation]))
			}
			n.seen[id.Incarnation] = total
		}
		n.seenEvents[id.Incarnation] += len(c.Events)
		if n.seenEvents[id.Incarnation] > s.events[id.Incarnation] {
			s.backward = append(s.backward, "event taken in twice of "+id.Incarnation)
		}
		if id.Instance == n.id.Instance {
			continue
		}
		p := n.peers[id.Instance]
		if p == nil || p.identity.Incarnation != id.Incarnation && c.At > p.updated {
			p = &simPeer{identity: id, failed: simNever}
			n.peers[id.Instance] = p
		}
		if p.identity.Incarnation == id.Incarnation {
			p.updated = c.At
		}
	}
	return lacking
}

// agreed says whether all live nodes have the counts of all live ones.
func (s *sim) agreed() string {
	for _, n := range s.nodes {
		for _, x := range s.nodes {
			if inc := x.id.Incarnation; n != x && !n.down && !x.down && n.seen[inc] != s.actual[inc] {
				return fmt.Sprintf("%s has %v of %s, which has %v", n.id.Instance, n.seen[inc], inc, s.actual[inc])
			}
		}
	}
	return ""
}

func (s *sim) hubsOf(domain string) (out []*simNode) {
	for _, n := range s.nodes {
		if n.hub && !n.down && n.id.Domain == domain {
			out = append(out, n)
		}
	}
	return out
}

// Guards against counts that are summed twice, fall, or stay apart while hubs
// restart, change, or are cut off.
func TestCountsAgreeOverPartitionsAndRestarts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSim(rapid.IntRange(1, 4).Draw(rt, "domains"), rapid.IntRange(2, 12).Draw(rt, "each"), rapid.Uint64().Draw(rt, "seed"))
		s.lost = rapid.Float64Range(0, 0.3).Draw(rt, "lost")
		for range rapid.IntRange(1, 12).Draw(rt, "troubles") {
			s.trouble(rt)
			for range 8 {
				s.count(s.nodes[s.rng.IntN(len(s.nodes))])
				s.run(50 * time.Millisecond)
			}
		}
		s.lost, s.cut = 0, func(*simNode, *simNode) bool { return false }
		for _, n := range s.nodes {
			if n.down {
				s.start(n)
			}
		}
		s.run(6 * time.Second)
		if len(s.backward) > 0 {
			rt.Fatal(s.backward[0])
		}
		if apart := s.agreed(); apart != "" {
			rt.Fatal(apart)
		}
	})
}

// trouble changes something for the time to come.
func (s *sim) trouble(rt *rapid.T) {
	pick := func(name string) *simNode { return s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(rt, name)] }
	switch rapid.SampledFrom([]string{"stop", "restart", "cut", "one way", "heal", "join"}).Draw(rt, "trouble") {
	case "stop":
		n := pick("node")
		n.down, n.lost = true, rapid.Bool().Draw(rt, "lost")
	case "restart":
		s.start(pick("node"))
	case "cut":
		domain := pick("node").id.Domain
		s.cut = func(from, to *simNode) bool { return (from.id.Domain == domain) != (to.id.Domain == domain) }
	case "one way":
		a, b := pick("from").id.Instance, pick("to").id.Instance
		s.cut = func(from, to *simNode) bool { return from.id.Instance == a && to.id.Instance == b }
	case "heal":
		s.cut = func(*simNode, *simNode) bool { return false }
	case "join":
		if len(s.nodes) < 60 {
			s.add(pick("node").id.Domain, fmt.Sprintf("j%03d", len(s.nodes)))
		}
	}
}

// Guards against messages of one instance that grow with the fleet.
func TestMessagesOfOneInstanceAreBounded(t *testing.T) {
	is := is.New(t)
	for _, each := range []int{13, 39} {
		s := newSim(5, each, 1)
		s.run(2 * time.Second)
		for _, n := range s.nodes {
			n.calls = 0
		}
		s.run(2 * time.Second)
		followers, most := 0, 0
		for _, n := range s.nodes {
			if !n.hub {
				followers++
				is.True(n.calls <= 10) // one each 200 ms
			}
			most = max(most, n.calls)
		}
		is.Equal(followers, 5*(each-hubs.HubsPerDomain(each)))
		is.True(most <= 16*(5*hubs.HubsPerDomain(each)-1)) // the other hubs, each 125 ms
	}
}

// Guards against a domain that loses its counts with its hubs.
func TestHubsLostInMidSumAreReplaced(t *testing.T) {
	is := is.New(t)
	s := newSim(5, 39, 2)
	s.run(2 * time.Second)
	for _, n := range s.nodes {
		s.count(n)
	}
	s.run(100 * time.Millisecond)
	lost := s.hubsOf("d0")
	is.Equal(len(lost), 2)
	for _, n := range lost {
		n.down, n.lost = true, true
	}
	s.run(2 * time.Second)
	is.Equal(s.agreed(), "")
	is.Equal(s.backward, nil)
}

// Guards against a fleet that is rebuilt slowly after most of it was lost at
// once: callers have their rates shared by those that report only.
func TestFewSurvivorsFindEachOther(t *testing.T) {
	is := is.New(t)
	s := newSim(5, 39, 3)
	s.run(2 * time.Second)
	for i, n := range s.nodes {
		n.down, n.lost = i%13 != 0, true // three of a domain are left
	}
	s.run(3 * time.Second)
	for _, n := range s.nodes {
		if !n.down {
			s.count(n)
		}
	}
	s.run(time.Second)
	is.Equal(s.agreed(), "")
}

// Guards against instances that join in dozens and stay unknown, and against
// calls of one instance that grow with the number that joins.
func TestMassJoinIsKnownInAShortTime(t *testing.T) {
	is := is.New(t)
	s := newSim(5, 16, 4)
	s.run(2 * time.Second)
	for i := range 60 {
		s.add(fmt.Sprintf("d%d", i%5), fmt.Sprintf("x%03d", i))
	}
	for _, n := range s.nodes {
		n.calls = 0
		s.count(n)
	}
	s.run(2 * time.Second)
	is.Equal(s.agreed(), "")
	for _, n := range s.nodes {
		is.True(n.calls <= 16*(5*hubs.HubsPerDomain(28)+4))
	}
}

// Guards against a domain whose return is noticed by nobody.
func TestLostDomainComesBack(t *testing.T) {
	is := is.New(t)
	s := newSim(5, 16, 5)
	s.run(2 * time.Second)
	s.cut = func(from, to *simNode) bool { return (from.id.Domain == "d0") != (to.id.Domain == "d0") }
	for _, n := range s.nodes {
		s.count(n)
	}
	s.run(6 * time.Second)
	is.True(s.agreed() != "")
	s.cut = func(*simNode, *simNode) bool { return false }
	s.run(3 * time.Second)
	is.Equal(s.agreed(), "")
	is.Equal(s.backward, nil)
}

// Guards against a fleet that takes seconds to know itself after a restart of all:
// until then each account has a part of its rate only.
func TestRestartedFleetKnowsItselfSoon(t *testing.T) {
	is := is.New(t)
	s := newSim(5, 20, 6)
	s.run(2 * time.Second)
	began, up := s.now, map[*simNode]time.Duration{}
	for _, n := range s.nodes {
		n.down, n.lost = true, false
		up[n] = began + time.Duration(s.rng.Int64N(int64(600*time.Millisecond)))
	}
	for s.now < began+4*time.Second {
		for _, n := range s.nodes {
			if n.down && s.now >= up[n] {
				s.restart(n)
				s.count(n)
			}
		}
		s.run(simStep)
		if s.now > began+700*time.Millisecond && s.agreed() == "" {
			break
		}
	}
	t.Logf("known after %v", s.now-began)
	is.True(s.now-began <= 2*time.Second) // no hub that failed is waited for
}
