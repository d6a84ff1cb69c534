package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/peer"
	"github.com/mastictray/mastictray/internal/platform"
	"github.com/mastictray/mastictray/internal/wire"
)

const (
	heartbeatEvery   = 300 * time.Millisecond
	heartbeatTimeout = 500 * time.Millisecond
	listEvery        = 500 * time.Millisecond
	listTimeout      = 2 * time.Second
	// peerForget is how long a silent peer is still called. It is longer
	// than a restart takes, and shorter than an address is likely to be
	// given to something else.
	peerForget = time.Minute
)

// knownPeer is what this instance knows of another.
type knownPeer struct {
	identity wire.Identity
	heard    time.Duration
	leaving  bool
	draining []string
}

// members keeps the other entry instances and the targets that are leaving.
type members struct {
	clock  clock
	node   *peer.Node
	list   platform.InstanceLister
	rates  *rateDriver
	poison *poisonDriver
	fixed  []string

	mu      sync.Mutex
	peers   map[string]*knownPeer
	listed  map[string]platform.Instance
	leaving bool
	changed func(leaving func(target string) bool)
}

func newMembers(c clock, node *peer.Node, list platform.InstanceLister, fixed []string) *members {
	m := &members{
		clock: c, node: node, list: list, fixed: fixed,
		peers: make(map[string]*knownPeer), listed: make(map[string]platform.Instance),
	}
	for _, addr := range fixed {
		m.peers[addr] = &knownPeer{identity: wire.Identity{Address: addr}}
	}
	node.Handle(wire.KindHeartbeat, m.handle)
	return m
}

// addresses are the peers to talk to, without this instance.
func (m *members) addresses() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := make([]string, 0, len(m.peers))
	for addr := range m.peers {
		if addr != m.node.Self().Address {
			list = append(list, addr)
		}
	}
	slices.Sort(list)
	return list
}

// count is the number of live entry instances, this one included.
func (m *members) count() int { return len(m.addresses()) + 1 }

// run reads the instance list and exchanges heartbeats until ctx ends.
func (m *members) run(ctx context.Context) {
	if m.list != nil {
		go m.readList(ctx)
	}
	for ctx.Err() == nil {
		for _, addr := range m.addresses() {
			go m.beat(ctx, addr)
		}
		m.forget()
		known := m.known()
		m.rates.setPeers(known)
		m.poison.setPeers(known)
		sleep(ctx, heartbeatEvery)
	}
}

func (m *members) readList(ctx context.Context) {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, listTimeout)
		list, err := m.list.Instances(callCtx)
		cancel()
		if err != nil {
			logline.Error(err, "instance_list_failed")
		} else {
			m.takeList(list)
		}
		sleep(ctx, listEvery)
	}
}

func (m *members) takeList(list platform.InstanceList) {
	m.mu.Lock()
	m.listed = make(map[string]platform.Instance, len(list.Instances))
	for _, in := range list.Instances {
		m.listed[in.ID] = in
		if in.Role == platform.RoleEntry && m.peers[in.Address] == nil && in.Address != m.node.Self().Address {
			m.peers[in.Address] = &knownPeer{identity: wire.Identity{Instance: in.ID, Address: in.Address, Domain: in.Domain}, heard: m.clock.now()}
		}
	}
	m.mu.Unlock()
	m.notify()
}

// notify tells the pools which targets are leaving.
func (m *members) notify() {
	m.mu.Lock()
	leaving := make(map[string]bool)
	for id, in := range m.listed {
		if in.Role == platform.RoleTarget && in.State == platform.StateLeaving {
			leaving[id] = true
		}
	}
	for _, p := range m.peers {
		for _, name := range p.draining {
			leaving[name] = true
		}
	}
	m.mu.Unlock()
	if m.changed != nil {
		m.changed(func(name string) bool { return leaving[name] })
	}
}

func (m *members) beat(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	var ans wire.Heartbeat
	if _, err := m.node.Call(ctx, addr, wire.KindHeartbeat, m.own(), &ans); err == nil {
		m.take(ans)
	}
}

// own is this instance's heartbeat.
func (m *members) own() wire.Heartbeat {
	hints, share := m.rates.hints()
	m.mu.Lock()
	defer m.mu.Unlock()
	hb := wire.Heartbeat{From: m.node.Self(), Leaving: m.leaving, RateShare: share, Hints: hints}
	for id, in := range m.listed {
		if in.Role == platform.RoleTarget && in.State == platform.StateLeaving {
			hb.Draining = append(hb.Draining, id)
		}
	}
	return hb
}

func (m *members) handle(_ context.Context, _ wire.Identity, f wire.Frame) (any, error) {
	var hb wire.Heartbeat
	if err := f.Into(&hb); err != nil {
		return nil, err
	}
	m.take(hb)
	return m.own(), nil
}

func (m *members) take(hb wire.Heartbeat) {
	m.mu.Lock()
	p := m.peers[hb.From.Address]
	if p == nil {
		p = &knownPeer{}
		m.peers[hb.From.Address] = p
	}
	fresh := p.identity != hb.From
	drains := !slices.Equal(p.draining, hb.Draining)
	p.identity, p.heard, p.leaving, p.draining = hb.From, m.clock.now(), hb.Leaving, hb.Draining
	m.mu.Unlock()
	m.rates.takeHints(hb)
	if fresh {
		logline.Info("peer_known", "peer", hb.From.Address, "instance", hb.From.Instance, "incarnation", hb.From.Incarnation, "domain", hb.From.Domain)
		known := m.known()
		m.rates.setPeers(known)
		m.poison.setPeers(known)
	}
	if drains {
		m.notify()
	}
}

// known are the peers heard so far that are not leaving.
func (m *members) known() []wire.Identity {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []wire.Identity
	for _, p := range m.peers {
		if p.identity.Incarnation != "" && !p.leaving {
			list = append(list, p.identity)
		}
	}
	return list
}

// forget drops peers that were silent for long and that no setting names.
func (m *members) forget() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.now()
	for addr, p := range m.peers {
		if now-p.heard > peerForget && !slices.Contains(m.fixed, addr) {
			delete(m.peers, addr)
		}
	}
}

// leave tells the peers at the next heartbeats that this instance drains.
func (m *members) leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaving = true
}
