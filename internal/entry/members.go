package entry

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/membership"
	"github.com/mastictray/mastictray/internal/peer"
	"github.com/mastictray/mastictray/internal/platform"
	"github.com/mastictray/mastictray/internal/wire"
)

const (
	memberTickInterval  = 75 * time.Millisecond
	memberSendTimeout   = 500 * time.Millisecond
	heartbeatInterval   = 300 * time.Millisecond
	heartbeatTimeout    = 500 * time.Millisecond
	instanceListTimeout = 2 * time.Second
	// listRowOverheadBytes is the approximate size of one row of the instance
	// list on the wire without the values of its strings.
	listRowOverheadBytes = 70
)

// members keeps the view of the other entry instances and of the draining targets,
// and exchanges heartbeats with the live instances.
type members struct {
	clock  clock
	node   *peer.Node
	lister platform.InstanceLister
	rates  *rateDriver
	poison *poisonDriver
	claims *claimDriver
	seeds  []string
	// updateDraining is called at every heartbeat with a function that reports
	// whether a target is draining.
	updateDraining func(draining func(target string) bool)
	// updateListed is called at every heartbeat with a function that returns what the
	// instance list shows of a target.
	updateListed func(listed listedFunc)
	// onReplaced is called when a later process runs under this instance's name.
	onReplaced func()

	mu           sync.Mutex
	view         *membership.View
	incarnations map[string]string // by instance name
	// lastHeartbeat holds the arrival time of the last heartbeat, by peer address.
	lastHeartbeat map[string]time.Duration
}

func newMembers(c clock, node *peer.Node, lister platform.InstanceLister, seeds []string) *members {
	m := &members{
		clock: c, node: node, lister: lister,
		seeds:        slices.DeleteFunc(slices.Clone(seeds), func(a string) bool { return a == node.Self().Address }),
		incarnations: make(map[string]string), lastHeartbeat: make(map[string]time.Duration),
	}
	cfg := membership.Config{Self: node.Self(), StartMillis: c.wallMillis(), Seeds: m.seeds}
	m.view = membership.New(cfg, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	node.Handle(wire.KindHeartbeat, m.handleHeartbeat)
	for _, kind := range []wire.Kind{wire.KindMemberPing, wire.KindMemberPong, wire.KindMemberUpdates} {
		node.Handle(kind, m.handleMessage)
	}
	return m
}

// peerAddresses returns the addresses of the live peers and of the seeds.
func (m *members) peerAddresses() []string {
	list := slices.Clone(m.seeds)
	for _, p := range m.livePeers() {
		if !slices.Contains(list, p.Address) {
			list = append(list, p.Address)
		}
	}
	slices.Sort(list)
	return list
}

// liveInstanceCount returns the number of live entry instances, this one included.
func (m *members) liveInstanceCount() int { return len(m.livePeers()) + 1 }

// livePeers returns the other instances that are live and not leaving.
func (m *members) livePeers() []wire.Identity {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []wire.Identity
	for _, f := range m.view.Members() {
		if f.State == wire.MemberLive && f.Identity != m.node.Self() {
			list = append(list, f.Identity)
		}
	}
	return list
}

// run ticks the view and sends heartbeats until ctx ends.
func (m *members) run(ctx context.Context) {
	nextHeartbeat := time.Duration(0)
	for ctx.Err() == nil {
		now := m.clock.now()
		m.mu.Lock()
		m.view.Tick(now)
		replaced := m.view.Replaced()
		m.mu.Unlock()
		m.processReady(ctx)
		if replaced {
			logline.Info("instance_replaced", "instance", m.node.Self().Instance)
			m.onReplaced()
		}
		if now >= nextHeartbeat {
			nextHeartbeat = now + heartbeatInterval
			m.exchangeHeartbeats(ctx)
		}
		sleep(ctx, memberTickInterval)
	}
}

// processReady sends the messages, reads the list and handles the changes that
// the view has pending.
func (m *members) processReady(ctx context.Context) {
	m.mu.Lock()
	ready := m.view.Ready()
	m.mu.Unlock()
	for _, msg := range ready.Messages {
		go m.sendMessage(ctx, msg)
	}
	if ready.ReadList && m.lister != nil {
		go m.refreshList(ctx)
	}
	for _, c := range ready.Changes {
		m.handleChange(c)
	}
}

func (m *members) sendMessage(ctx context.Context, msg membership.Message) {
	ctx, cancel := context.WithTimeout(ctx, memberSendTimeout)
	defer cancel()
	_ = m.node.Send(ctx, msg.To, msg.Kind, msg.Body) // the view retries
}

// handleChange logs a change of a peer or a target. If a new process runs under an
// instance's name, the previous one has ended, and requests that wait for its
// results are answered at once.
func (m *members) handleChange(c membership.Change) {
	if c.Target != nil {
		logline.Info("target_changed", "target", c.Target.Target, "draining", c.Target.Draining, "gone", c.Target.Gone, "incarnation", c.Target.Incarnation)
		return
	}
	id := c.Member.Identity
	logline.Info("peer_changed", "peer", id.Address, "instance", id.Instance, "incarnation", id.Incarnation, "domain", id.Domain, "state", c.Member.State)
	m.mu.Lock()
	previous := m.incarnations[id.Instance]
	m.incarnations[id.Instance] = id.Incarnation
	m.mu.Unlock()
	if previous != "" && previous != id.Incarnation {
		m.claims.processEnded(previous)
	}
}

// refreshList reads the platform's list of instances into the view.
func (m *members) refreshList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, instanceListTimeout)
	defer cancel()
	requestedAt := m.clock.now()
	list, err := m.lister.Instances(ctx)
	m.mu.Lock()
	if err != nil {
		m.view.HandleListError(m.clock.now())
	} else {
		m.view.HandleList(m.clock.now(), requestedAt, list, listBytes(list))
	}
	m.mu.Unlock()
	if err != nil && ctx.Err() == nil {
		logline.Error(err, "instance_list_failed")
	}
}

// listBytes returns the approximate size of the list on the wire.
func listBytes(l platform.InstanceList) int {
	n := 0
	for _, in := range l.Instances {
		n += listRowOverheadBytes + len(in.ID) + len(in.Address) + len(in.Domain)
	}
	return n
}

func (m *members) handleMessage(ctx context.Context, _ wire.Identity, f wire.Frame) (any, error) {
	body, err := membership.Decode(f)
	if err != nil {
		return nil, err
	}
	m.mu.Lock()
	m.view.Receive(m.clock.now(), f.Kind, body)
	m.mu.Unlock()
	m.processReady(ctx)
	return nil, nil
}

// observeIncarnation records the incarnation that a target stated in a response.
func (m *members) observeIncarnation(target, incarnation string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view.ObserveIncarnation(m.clock.now(), target, incarnation)
}

// announceLeave announces to the peers that this instance is draining.
func (m *members) announceLeave() {
	m.mu.Lock()
	m.view.Leave(m.clock.now())
	m.mu.Unlock()
}

// exchangeHeartbeats passes the live peers and the draining targets to the
// drivers and exchanges heartbeats with each peer.
func (m *members) exchangeHeartbeats(ctx context.Context) {
	peers := m.livePeers()
	m.rates.setPeers(peers)
	m.poison.setPeers(peers)
	m.pruneLastHeartbeats(peers)
	for _, p := range peers {
		go m.exchangeHeartbeat(ctx, p.Address)
	}
	m.updateListed(func(name string) (bool, int64, bool) {
		m.mu.Lock()
		defer m.mu.Unlock()
		return m.view.Listed(name)
	})
	m.updateDraining(func(name string) bool {
		m.mu.Lock()
		defer m.mu.Unlock()
		return m.view.Draining(name)
	})
}

// pruneLastHeartbeats removes the addresses that no live peer has any more.
// Otherwise the map would grow with each replaced instance.
func (m *members) pruneLastHeartbeats(peers []wire.Identity) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for addr := range m.lastHeartbeat {
		if !slices.ContainsFunc(peers, func(p wire.Identity) bool { return p.Address == addr }) {
			delete(m.lastHeartbeat, addr)
		}
	}
}

// exchangeHeartbeat sends this instance's heartbeat to a peer, which responds with
// its own.
func (m *members) exchangeHeartbeat(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	var resp wire.Heartbeat
	if _, err := m.node.Call(ctx, addr, wire.KindHeartbeat, m.heartbeat(), &resp); err == nil {
		m.receiveHeartbeat(resp)
	}
}

// heartbeat returns this instance's current heartbeat.
func (m *members) heartbeat() wire.Heartbeat {
	hints, share := m.rates.hints()
	return wire.Heartbeat{From: m.node.Self(), RateShare: share, Hints: hints}
}

func (m *members) handleHeartbeat(_ context.Context, _ wire.Identity, f wire.Frame) (any, error) {
	var hb wire.Heartbeat
	if err := f.DecodeBody(&hb); err != nil {
		return nil, err
	}
	m.receiveHeartbeat(hb)
	return m.heartbeat(), nil
}

func (m *members) receiveHeartbeat(hb wire.Heartbeat) {
	m.mu.Lock()
	m.lastHeartbeat[hb.From.Address] = m.clock.now()
	m.mu.Unlock()
	m.rates.handleHeartbeat(hb)
}
