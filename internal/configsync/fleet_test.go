package configsync

import (
	"container/heap"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/wire"
)

const (
	simDomains = 3
	// simSmall and simLarge are what links carry in bytes a second, after other
	// traffic has taken its part.
	simSmall = 0.6 * 10e6 / 8
	simLarge = 0.6 * 200e6 / 8
	simShare = 0.5
	simDelay = time.Millisecond
	// simFollow and simHubs are the pauses between two exchanges of a follower with
	// its hub, and of two hubs.
	simFollow  = 200 * time.Millisecond
	simHubs    = 125 * time.Millisecond
	simMessage = 4_000
	simTimeout = time.Second
)

// simEvent is something to happen.
type simEvent struct {
	at  time.Duration
	seq int
	do  func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// simNode is an instance with a link whose messages go one after another.
type simNode struct {
	name     string
	domain   int
	hub      bool
	link     float64
	up, down time.Duration // when the link is free
	lost     bool
	sender   *Sender
	receiver *Receiver
	have     wire.ConfigRef
	versions map[*simNode]int64 // what each other one is known to have
	fetching bool
	reached  time.Duration
}

// simFleet moves configurations through a fleet in simulated time.
type simFleet struct {
	t     *testing.T
	now   time.Duration
	queue simQueue
	seq   int
	nodes []*simNode
	known map[int64]*Snapshot
	// slowest is the longest that an exchange has taken since it was last reset.
	slowest time.Duration
}

func newSimFleet(t *testing.T, n int) *simFleet {
	f := &simFleet{t: t, known: map[int64]*Snapshot{}}
	for i := range n {
		x := &simNode{
			name: fmt.Sprintf("n%03d", i), domain: i % simDomains, hub: i < 2*simDomains, link: simSmall, versions: map[*simNode]int64{},
		}
		if x.hub {
			x.link = simLarge
		}
		f.restart(x)
		f.nodes = append(f.nodes, x)
	}
	for i, x := range f.nodes {
		pause := simFollow
		if x.hub {
			pause = simHubs
		}
		f.after(pause*time.Duration(i)/time.Duration(n), func() { f.exchange(x, pause, i) })
	}
	return f
}

// restart makes a new process of an instance.
func (f *simFleet) restart(x *simNode) {
	x.sender, x.receiver, x.have = NewSender(simShare*x.link), NewReceiver(x.name, x.link, simShare), wire.ConfigRef{}
	clear(x.versions)
}

func (f *simFleet) after(d time.Duration, do func()) {
	f.seq++
	heap.Push(&f.queue, simEvent{at: f.now + d, seq: f.seq, do: do})
}

func (f *simFleet) run(d time.Duration) {
	for end := f.now + d; len(f.queue) > 0 && f.queue[0].at <= end; {
		e := heap.Pop(&f.queue).(simEvent)
		f.now = e.at
		e.do()
	}
}

// send has bytes go over both links; those of a lost instance go nowhere.
func (f *simFleet) send(from, to *simNode, bytes int, arrived func()) {
	out := max(f.now, from.up) + time.Duration(float64(bytes)/from.link*float64(time.Second))
	from.up = out
	in := max(out+simDelay, to.down) + time.Duration(float64(bytes)/to.link*float64(time.Second))
	to.down = in
	f.after(in-f.now, func() {
		if !to.lost && !from.lost {
			arrived()
		}
	})
}

// exchange makes an exchange of small messages, and the next one after a pause.
func (f *simFleet) exchange(x *simNode, pause time.Duration, turn int) {
	f.after(pause, func() { f.exchange(x, pause, turn+1) })
	peer := f.partner(x, turn)
	if x.lost || peer == x {
		return
	}
	began := f.now
	f.send(x, peer, simMessage, func() {
		f.learn(peer, x)
		f.send(peer, x, simMessage, func() {
			f.slowest = max(f.slowest, f.now-began)
			f.learn(x, peer)
		})
	})
}

// partner is one of the hubs: of the own domain for a follower, any for a hub.
func (f *simFleet) partner(x *simNode, turn int) *simNode {
	for i := range 2 * simDomains {
		p := f.nodes[(turn+i)%(2*simDomains)]
		if p != x && !p.lost && (x.hub || p.domain == x.domain) {
			return p
		}
	}
	return x
}

// learn has an instance take in what another one has, and what that knows of others.
func (f *simFleet) learn(x, from *simNode) {
	x.versions[from] = max(x.versions[from], from.have.Version)
	for other, v := range from.versions {
		if other != x {
			x.versions[other] = max(x.versions[other], v)
		}
	}
	f.fetch(x)
}

// fetch makes the next call for a part, if one is to be made.
func (f *simFleet) fetch(x *simNode) {
	if x.fetching || x.lost {
		return
	}
	var sources []Source
	for _, y := range f.nodes {
		if v := x.versions[y]; v > x.have.Version {
			sources = append(sources, Source{Name: y.name, Version: v, SameDomain: y.domain == x.domain})
		}
	}
	name, call, wait := x.receiver.NextRequest(f.now, x.have, sources)
	if name == "" {
		if wait > 0 {
			f.after(wait, func() { f.fetch(x) })
		}
		return
	}
	x.fetching = true
	f.call(x, f.node(name), call)
}

func (f *simFleet) node(name string) *simNode {
	for _, x := range f.nodes {
		if x.name == name {
			return x
		}
	}
	f.t.Fatal("no node", name)
	return nil
}

const simHead = 200 // bytes of a call without data

func (f *simFleet) call(x, source *simNode, c wire.ConfigPartRequest) {
	answered := false
	f.send(x, source, simHead, func() {
		part, err := source.sender.Part(f.now, c)
		if err != nil {
			f.t.Fatal(err)
		}
		f.send(source, x, simHead+len(part.Data), func() {
			if answered {
				return // after its time
			}
			answered, x.fetching = true, false
			if _, done := x.receiver.HandlePart(f.now, part); done {
				f.put(x, f.known[part.Target.Version])
			}
			f.fetch(x)
		})
	})
	f.after(simTimeout, func() {
		if !answered {
			answered, x.fetching = true, false
			x.receiver.HandleFailure(f.now)
			f.fetch(x)
		}
	})
}

func (f *simFleet) put(x *simNode, s *Snapshot) {
	x.sender.AddSnapshot(s)
	x.have, x.reached = s.Ref, f.now
}

// publish gives all instances the first of two configurations and one of the hubs the
// second.
func (f *simFleet) publish(first, second *Snapshot) {
	f.known[first.Ref.Version], f.known[second.Ref.Version] = first, second
	for _, x := range f.nodes {
		f.put(x, first)
	}
	f.put(f.nodes[0], second)
}

// last is when the last instance got a version; false while one has not.
func (f *simFleet) last(version int64) (time.Duration, bool) {
	last := time.Duration(0)
	for _, x := range f.nodes {
		if x.lost {
			continue
		}
		if x.have.Version < version {
			return 0, false
		}
		last = max(last, x.reached)
	}
	return last, true
}

// Guards against configurations that never come to instances with small links, and
// against exchanges that are late while one comes.
func TestConfigurationsReachAFleetOnSmallLinks(t *testing.T) {
	made := map[int]*Snapshot{}
	large := func(routes int) *Snapshot {
		if made[routes] == nil {
			made[routes] = snapshotOf(t, testConfig(2, routes))
		}
		return made[routes]
	}
	for _, c := range []struct {
		name          string
		fleet, routes int
		change        bool // only one route is new
		// allowed is the time for knowing of it, and for the bytes.
		allowed time.Duration
		trouble func(f *simFleet)
	}{
		{name: "300 routes", fleet: 61, routes: 300, allowed: time.Second},
		{name: "3,000 routes", fleet: 61, routes: 3000, allowed: 1500 * ms},
		{name: "30,000 routes", fleet: 61, routes: 30000, allowed: 4 * time.Second},
		{name: "one route of 30,000", fleet: 61, routes: 30000, change: true, allowed: time.Second},
		{name: "large fleet, 300 routes", fleet: 195, routes: 300, allowed: time.Second},
		{name: "large fleet, 3,000 routes", fleet: 195, routes: 3000, allowed: 1500 * ms},
		{name: "large fleet, 30,000 routes", fleet: 195, routes: 30000, allowed: 4 * time.Second},
		{name: "sender lost", fleet: 61, routes: 3000, allowed: 3 * time.Second, trouble: func(f *simFleet) { f.nodes[0].lost = true }},
		{name: "sender slow", fleet: 61, routes: 3000, allowed: 3 * time.Second, trouble: func(f *simFleet) { f.nodes[0].link /= 40 }},
		{name: "sender restarted", fleet: 61, routes: 3000, allowed: 3 * time.Second, trouble: func(f *simFleet) { f.restart(f.nodes[3]) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			first, second := snapshotOf(t, testConfig(1, 10)), large(c.routes)
			if c.change {
				first = snapshotOf(t, testConfig(1, c.routes-1))
			}
			f := newSimFleet(t, c.fleet)
			f.run(2 * time.Second)
			calm := f.slowest
			f.slowest = 0
			f.publish(first, second)
			began := f.now
			if c.trouble != nil {
				f.run(400 * ms) // the next hubs have it, most followers have a part
				c.trouble(f)
			}
			f.run(10 * time.Second)
			last, all := f.last(2)
			is.True(all)
			t.Logf("in force at the last after %v; slowest exchange %v, without a transfer %v", last-began, f.slowest, calm)
			is.True(last-began <= c.allowed)
			if c.trouble == nil {
				is.True(f.slowest <= calm+3*partTime)
			}
		})
	}
}
