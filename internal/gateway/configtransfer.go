package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mastictray/mastictray/internal/configsync"
	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/wire"
)

const (
	// configShare is the part of an instance's link that transfers of
	// configurations may take, in each direction.
	configShare = 0.5
	// partTimeout bounds the call for one part: a sender that is gone must leave time
	// for another one within the bound on configurations.
	partTimeout = time.Second
	// sourceEvery is the pause between two looks for an instance that has the newer
	// configuration.
	sourceEvery = 250 * time.Millisecond
	// unknownLinkMbps is the rate of a link where no setting gives it.
	unknownLinkMbps = 1000
)

// configTransfer brings newer configurations here from other instances, and from
// here to them.
type configTransfer struct {
	g *Gateway
	// link is the bytes a second that the instance's link carries.
	link float64
	// wake has an item when a newer configuration was reported.
	wake chan struct{}
	// reported is the newest configuration that an instance was reported to have.
	reported atomic.Int64

	// sending guards the sender. It is locked before mu and held while a large
	// configuration is encoded, which no request waits for.
	sending sync.Mutex
	sender  *configsync.Sender

	mu       sync.Mutex
	receiver *configsync.Receiver
	// newest is the configuration in force, unsent those that the sender is to get.
	newest *configsync.Snapshot
	unsent []*configsync.Snapshot
	// contacts are the peers' last contacts with the store, by the configuration that
	// they had: they count as own ones once that is here. The oldest version is first.
	contacts []configContact
	// began is when the transfer under way began, received its bytes so far.
	began    time.Duration
	received int
}

// configContact is until when an instance with a configuration knew all that
// operators had written, and where it would have read on.
type configContact struct {
	version int64
	at      time.Duration
	next    int64
}

func newConfigTransfer(g *Gateway) *configTransfer {
	mbps := g.settings.LinkMbps
	if mbps <= 0 {
		mbps = unknownLinkMbps
	}
	link := mbps * bytesPerMbit
	return &configTransfer{
		g: g, link: link, wake: make(chan struct{}, 1),
		sender: configsync.NewSender(configShare * link), receiver: configsync.NewReceiver(g.self.Instance, link, transferLinkShare),
	}
}

// report takes in that an instance has a configuration. The caller holds the peers'
// lock, so that reports come one after another.
func (t *configTransfer) report(version int64, instance string) {
	if version <= t.reported.Load() {
		return
	}
	t.reported.Store(version)
	if own := t.g.configVersion(); own < version {
		logline.Info("config_reported", "version", version, "peer", instance, "own", own)
		select {
		case t.wake <- struct{}{}:
		default: // the loop is to look already
		}
	}
}

// outdated says whether there is a newer configuration than the one in force.
func (t *configTransfer) outdated() bool { return t.reported.Load() > t.g.configVersion() }

// put takes in the configuration that comes into force, and gives the contacts of
// peers that had it or an older one.
func (t *configTransfer) put(s *configsync.Snapshot) (reached []configContact) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.newest, t.unsent = s, append(t.unsent, s)
	if len(t.unsent) > configsync.MaxSnapshots {
		t.unsent = t.unsent[1:]
	}
	n := 0
	for n < len(t.contacts) && t.contacts[n].version <= s.Ref.Version {
		n++
	}
	reached, t.contacts = t.contacts[:n:n], t.contacts[n:]
	return reached
}

// contact takes in the contact of a peer that has a newer configuration.
func (t *configTransfer) contact(c configContact) {
	t.mu.Lock()
	defer t.mu.Unlock()
	last := len(t.contacts) - 1
	switch {
	case last < 0 || t.contacts[last].version < c.version:
		t.contacts = append(t.contacts, c)
	case t.contacts[last].version == c.version:
		t.contacts[last].at, t.contacts[last].next = max(t.contacts[last].at, c.at), max(t.contacts[last].next, c.next)
	}
}

// arriving is the last contact of the peers, while their configuration is on its way
// here.
func (t *configTransfer) arriving(now time.Duration) (contact time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.contacts) == 0 || !t.receiver.Active(now) {
		return 0, false
	}
	return t.contacts[len(t.contacts)-1].at, true
}

// run fetches newer configurations from peers until ctx ends.
func (t *configTransfer) run(ctx context.Context) {
	for ctx.Err() == nil {
		source, call, wait := t.next()
		if source.Address != "" {
			t.fetch(ctx, source, call)
			continue
		}
		t.await(ctx, wait)
	}
}

// await waits for a newer configuration, or for a time that is not 0.
func (t *configTransfer) await(ctx context.Context, wait time.Duration) {
	var due <-chan time.Time
	if wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		due = timer.C
	}
	select {
	case <-ctx.Done():
	case <-t.wake:
	case <-due:
	}
}

// next chooses the next call for a part.
func (t *configTransfer) next() (source wire.Identity, call wire.ConfigPartRequest, wait time.Duration) {
	if !t.outdated() {
		return source, call, 0
	}
	sources, identities := t.g.peers.configSources(t.g.configVersion())
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.g.clock.Now()
	name, call, wait := t.receiver.NextRequest(now, t.have(), sources)
	if name == "" {
		if wait <= 0 || wait > sourceEvery {
			wait = sourceEvery
		}
		return source, call, wait
	}
	if call.Offset == 0 {
		t.began, t.received = now, 0
	}
	return identities[name], call, 0
}

// have is the configuration in force. The caller holds t.mu.
func (t *configTransfer) have() wire.ConfigRef {
	if t.newest == nil {
		return wire.ConfigRef{}
	}
	return t.newest.Ref
}

// fetch makes a call for a part, and puts the configuration into force with the last
// one.
func (t *configTransfer) fetch(ctx context.Context, source wire.Identity, call wire.ConfigPartRequest) {
	ctx, cancel := context.WithTimeout(ctx, partTimeout)
	defer cancel()
	var part wire.ConfigPart
	_, err := t.g.peers.call(ctx, source.Address, wire.KindConfigPart, call, &part)
	t.mu.Lock()
	now := t.g.clock.Now()
	if err != nil {
		t.receiver.HandleFailure(now)
		t.mu.Unlock()
		t.g.metrics.configPartFailed()
		logline.Error(err, "config_part_failed", "peer", source.Instance, "have", call.Base.Version, "target", call.Target, "offset", call.Offset)
		return
	}
	t.received += len(part.Data)
	raw, done := t.receiver.HandlePart(now, part)
	base, took, bytes := t.newest, now-t.began, t.received
	t.mu.Unlock()
	if !done || base != nil && base.Ref.Version >= part.Target.Version {
		return // more parts are to come, or the store was read meanwhile
	}
	s, err := configsync.Apply(base, raw)
	if err != nil {
		logline.Error(err, "config_unusable", "peer", source.Instance, "version", part.Target.Version, "base", part.Base.Version)
		t.mu.Lock()
		t.receiver.RejectEncoding(now, source.Instance)
		t.mu.Unlock()
		return
	}
	t.g.metrics.configReceived(bytes, took)
	logline.Info("config_received", "version", s.Ref.Version, "base", part.Base.Version, "peer", source.Instance, "bytes", bytes, "took", took)
	loaded := newLoadedConfig(s)
	t.g.mu.Lock()
	defer t.g.mu.Unlock()
	t.g.putInForce(loaded, source.Instance)
}

// serve answers a peer's call for a part.
func (t *configTransfer) serve(_ context.Context, _ wire.Identity, f wire.Frame) (any, error) {
	var call wire.ConfigPartRequest
	if err := f.DecodeBody(&call); err != nil {
		return nil, err
	}
	t.sending.Lock()
	defer t.sending.Unlock()
	t.mu.Lock()
	unsent := t.unsent
	t.unsent = nil
	t.mu.Unlock()
	for _, s := range unsent {
		t.sender.AddSnapshot(s)
	}
	return t.sender.Part(t.g.clock.Now(), call)
}

// configSources are the peers that have a newer configuration: those with a fresh
// update, or where there is none of these, the others.
func (p *peers) configSources(have int64) ([]configsync.Source, map[string]wire.Identity) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.g.clock.Now()
	var fresh, silent []configsync.Source
	identities := map[string]wire.Identity{}
	for name, s := range p.known {
		if s.config <= have || s.state.Leaving || now-s.failedAt <= retryFailed {
			continue
		}
		identities[name] = wire.Identity{Instance: name, Address: s.Address}
		source := configsync.Source{Name: name, Version: s.config, SameDomain: s.Domain == p.g.self.Domain}
		if p.fresh(now, s) {
			fresh = append(fresh, source)
		} else {
			silent = append(silent, source)
		}
	}
	if len(fresh) == 0 {
		return silent, identities
	}
	return fresh, identities
}
