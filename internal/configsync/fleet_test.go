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
	// smallLink and largeLink are the rates of links in bytes per second that other
	// traffic leaves.
	smallLink     = 0.6 * 10e6 / 8
	largeLink     = 0.6 * 200e6 / 8
	transferShare = 0.5
	linkDelay     = time.Millisecond
	// followInterval and hubInterval are the intervals between exchanges of a follower
	// with its hub and between two hubs.
	followInterval = 200 * time.Millisecond
	hubInterval    = 125 * time.Millisecond
	exchangeBytes  = 4_000
	callTimeout    = time.Second
)

// simEvent is a scheduled event. Those of equal time run in the order of seq.
type simEvent struct {
	at     time.Duration
	seq    int
	action func()
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

// simNode is an instance with a link that carries one message at a time in each
// direction.
type simNode struct {
	name                         string
	domain                       int
	hub                          bool
	link                         float64
	uplinkFreeAt, downlinkFreeAt time.Duration
	lost                         bool
	sender                       *Sender
	receiver                     *Receiver
	have                         wire.ConfigRef
	knownVersions                map[*simNode]int64 // latest known version of each other instance
	fetching                     bool
	installedAt                  time.Duration
}

// simFleet simulates the distribution of configurations in a fleet.
type simFleet struct {
	t         *testing.T
	now       time.Duration
	queue     simQueue
	seq       int
	nodes     []*simNode
	snapshots map[int64]*Snapshot
	// slowestExchange is the longest duration of an exchange since it was reset.
	slowestExchange time.Duration
}

func newSimFleet(t *testing.T, n int) *simFleet {
	f := &simFleet{t: t, snapshots: map[int64]*Snapshot{}}
	for i := range n {
		x := &simNode{
			name: fmt.Sprintf("n%03d", i), domain: i % simDomains, hub: i < 2*simDomains, link: smallLink, knownVersions: map[*simNode]int64{},
		}
		if x.hub {
			x.link = largeLink
		}
		f.restart(x)
		f.nodes = append(f.nodes, x)
	}
	for i, x := range f.nodes {
		interval := followInterval
		if x.hub {
			interval = hubInterval
		}
		f.after(interval*time.Duration(i)/time.Duration(n), func() { f.exchange(x, interval, i) })
	}
	return f
}

// restart replaces an instance's process by a new one without a configuration.
func (f *simFleet) restart(x *simNode) {
	x.sender, x.receiver, x.have = NewSender(transferShare*x.link), NewReceiver(x.name, x.link, transferShare), wire.ConfigRef{}
	clear(x.knownVersions)
}

func (f *simFleet) after(d time.Duration, action func()) {
	f.seq++
	heap.Push(&f.queue, simEvent{at: f.now + d, seq: f.seq, action: action})
}

func (f *simFleet) run(d time.Duration) {
	for end := f.now + d; len(f.queue) > 0 && f.queue[0].at <= end; {
		e := heap.Pop(&f.queue).(simEvent)
		f.now = e.at
		e.action()
	}
}

// send transmits a message over both links. It does not arrive if either instance is
// lost.
func (f *simFleet) send(from, to *simNode, bytes int, onArrival func()) {
	sentAt := max(f.now, from.uplinkFreeAt) + time.Duration(float64(bytes)/from.link*float64(time.Second))
	from.uplinkFreeAt = sentAt
	arrivesAt := max(sentAt+linkDelay, to.downlinkFreeAt) + time.Duration(float64(bytes)/to.link*float64(time.Second))
	to.downlinkFreeAt = arrivesAt
	f.after(arrivesAt-f.now, func() {
		if !to.lost && !from.lost {
			onArrival()
		}
	})
}

// exchange makes an exchange of small messages and schedules the next one.
func (f *simFleet) exchange(x *simNode, interval time.Duration, round int) {
	f.after(interval, func() { f.exchange(x, interval, round+1) })
	peer := f.selectPeer(x, round)
	if x.lost || peer == x {
		return
	}
	startedAt := f.now
	f.send(x, peer, exchangeBytes, func() {
		f.mergeVersions(peer, x)
		f.send(peer, x, exchangeBytes, func() {
			f.slowestExchange = max(f.slowestExchange, f.now-startedAt)
			f.mergeVersions(x, peer)
		})
	})
}

// selectPeer returns a hub to exchange with: of the own domain for a follower, of any
// for a hub; x itself if there is none.
func (f *simFleet) selectPeer(x *simNode, round int) *simNode {
	for i := range 2 * simDomains {
		p := f.nodes[(round+i)%(2*simDomains)]
		if p != x && !p.lost && (x.hub || p.domain == x.domain) {
			return p
		}
	}
	return x
}

// mergeVersions updates x's knowledge with the version of another instance and with
// the versions that that one knows of others.
func (f *simFleet) mergeVersions(x, from *simNode) {
	x.knownVersions[from] = max(x.knownVersions[from], from.have.Version)
	for other, v := range from.knownVersions {
		if other != x {
			x.knownVersions[other] = max(x.knownVersions[other], v)
		}
	}
	f.fetchPart(x)
}

// fetchPart calls for the next part if the receiver has a request.
func (f *simFleet) fetchPart(x *simNode) {
	if x.fetching || x.lost {
		return
	}
	var sources []Source
	for _, y := range f.nodes {
		if v := x.knownVersions[y]; v > x.have.Version {
			sources = append(sources, Source{Name: y.name, Version: v, SameDomain: y.domain == x.domain})
		}
	}
	name, call, wait := x.receiver.NextRequest(f.now, x.have, sources)
	if name == "" {
		if wait > 0 {
			f.after(wait, func() { f.fetchPart(x) })
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

const callOverheadBytes = 200 // size of a request, and of a response without data

func (f *simFleet) call(x, source *simNode, c wire.ConfigPartRequest) {
	finished := false
	f.send(x, source, callOverheadBytes, func() {
		part, err := source.sender.Part(f.now, c)
		if err != nil {
			f.t.Fatal(err)
		}
		f.send(source, x, callOverheadBytes+len(part.Data), func() {
			if finished {
				return // the call has timed out
			}
			finished, x.fetching = true, false
			if _, done := x.receiver.HandlePart(f.now, part); done {
				f.install(x, f.snapshots[part.Target.Version])
			}
			f.fetchPart(x)
		})
	})
	f.after(callTimeout, func() {
		if !finished {
			finished, x.fetching = true, false
			x.receiver.HandleFailure(f.now)
			f.fetchPart(x)
		}
	})
}

func (f *simFleet) install(x *simNode, s *Snapshot) {
	x.sender.AddSnapshot(s)
	x.have, x.installedAt = s.Ref, f.now
}

// publish installs the first configuration at all instances and the second one at a hub.
func (f *simFleet) publish(first, second *Snapshot) {
	f.snapshots[first.Ref.Version], f.snapshots[second.Ref.Version] = first, second
	for _, x := range f.nodes {
		f.install(x, first)
	}
	f.install(f.nodes[0], second)
}

// lastInstalled returns when the last instance got a version; false if one has not.
func (f *simFleet) lastInstalled(version int64) (time.Duration, bool) {
	last := time.Duration(0)
	for _, x := range f.nodes {
		if x.lost {
			continue
		}
		if x.have.Version < version {
			return 0, false
		}
		last = max(last, x.installedAt)
	}
	return last, true
}

// Guards against configurations that do not reach instances with small links in time,
// and against transfers that delay exchanges.
func TestConfigurationsReachAFleetOnSmallLinks(t *testing.T) {
	cached := map[int]*Snapshot{}
	large := func(routes int) *Snapshot {
		if cached[routes] == nil {
			cached[routes] = snapshotOf(t, testConfig(2, routes))
		}
		return cached[routes]
	}
	for _, c := range []struct {
		name          string
		fleet, routes int
		change        bool // only one route is new
		// allowed covers both the announcement of the version and its transfer.
		allowed time.Duration
		fault   func(f *simFleet)
	}{
		{name: "300 routes", fleet: 61, routes: 300, allowed: time.Second},
		{name: "3,000 routes", fleet: 61, routes: 3000, allowed: 1500 * ms},
		{name: "30,000 routes", fleet: 61, routes: 30000, allowed: 4 * time.Second},
		{name: "one route of 30,000", fleet: 61, routes: 30000, change: true, allowed: time.Second},
		{name: "large fleet, 300 routes", fleet: 195, routes: 300, allowed: time.Second},
		{name: "large fleet, 3,000 routes", fleet: 195, routes: 3000, allowed: 1500 * ms},
		{name: "large fleet, 30,000 routes", fleet: 195, routes: 30000, allowed: 4 * time.Second},
		{name: "sender lost", fleet: 61, routes: 3000, allowed: 3 * time.Second, fault: func(f *simFleet) { f.nodes[0].lost = true }},
		{name: "sender slow", fleet: 61, routes: 3000, allowed: 3 * time.Second, fault: func(f *simFleet) { f.nodes[0].link /= 40 }},
		{name: "sender restarted", fleet: 61, routes: 3000, allowed: 3 * time.Second, fault: func(f *simFleet) { f.restart(f.nodes[3]) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			first, second := snapshotOf(t, testConfig(1, 10)), large(c.routes)
			if c.change {
				first = snapshotOf(t, testConfig(1, c.routes-1))
			}
			f := newSimFleet(t, c.fleet)
			f.run(2 * time.Second)
			baseline := f.slowestExchange
			f.slowestExchange = 0
			f.publish(first, second)
			published := f.now
			if c.fault != nil {
				f.run(400 * ms) // other hubs have it by now, most followers a part of it
				c.fault(f)
			}
			f.run(10 * time.Second)
			last, all := f.lastInstalled(2)
			is.True(all)
			t.Logf("installed everywhere after %v; slowest exchange %v, without a transfer %v", last-published, f.slowestExchange, baseline)
			is.True(last-published <= c.allowed)
			if c.fault == nil {
				is.True(f.slowestExchange <= baseline+3*partDuration)
			}
		})
	}
}
