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
	// configLinkFraction is the fraction of an instance's link that transfers of
	// configurations may use in each direction.
	configLinkFraction = 0.5
	// configPartTimeout bounds the call for one part. If the sender is gone, there must
	// be time to switch to another one within the configuration bound.
	configPartTimeout = time.Second
	// sourceRetryInterval is the maximum delay between two searches for an instance
	// with the newer configuration.
	sourceRetryInterval = 250 * time.Millisecond
	// defaultLinkMbps is the assumed link rate if no setting gives it.
	defaultLinkMbps = 1000
)

// configTransfer fetches newer configurations from other instances and serves them to
// others.
type configTransfer struct {
	g *Gateway
	// linkBytesPerSecond is the capacity of this instance's link.
	linkBytesPerSecond float64
	// wake receives an item when a newer configuration is reported.
	wake chan struct{}
	// newestReported is the newest version that any instance was reported to have.
	newestReported atomic.Int64

	// senderMu guards sender. It is locked before mu and held while a large
	// configuration is encoded; no request waits for it.
	senderMu sync.Mutex
	sender   *configsync.Sender

	mu       sync.Mutex
	receiver *configsync.Receiver
	// current is the active configuration. unsentSnapshots are those that have not been
	// passed to the sender yet.
	current         *configsync.Snapshot
	unsentSnapshots []*configsync.Snapshot
	// peerContacts holds the peers' last contacts with the store by the configuration
	// that they had, in ascending order of version. A contact counts as a contact of
	// this instance once that configuration is active here.
	peerContacts []configContact
	// startedAt is the start of the current transfer, receivedBytes the bytes received
	// in it so far.
	startedAt     time.Duration
	receivedBytes int
}

// configContact is the time up to which an instance with a configuration of this
// version knew everything that operators had written, and the offset at which it would
// have continued reading.
type configContact struct {
	version    int64
	at         time.Duration
	nextOffset int64
}

func newConfigTransfer(g *Gateway) *configTransfer {
	mbps := g.settings.LinkMbps
	if mbps <= 0 {
		mbps = defaultLinkMbps
	}
	rate := mbps * bytesPerMbit
	return &configTransfer{
		g: g, linkBytesPerSecond: rate, wake: make(chan struct{}, 1),
		sender: configsync.NewSender(configLinkFraction * rate), receiver: configsync.NewReceiver(g.self.Instance, rate, transferLinkShare),
	}
}

// recordReport records that an instance has a configuration. The caller holds peers.mu,
// which serializes the reports.
func (t *configTransfer) recordReport(version int64, instance string) {
	if version <= t.newestReported.Load() {
		return
	}
	t.newestReported.Store(version)
	if own := t.g.configVersion(); own < version {
		logline.Info("config_reported", "version", version, "peer", instance, "own", own)
		select {
		case t.wake <- struct{}{}:
		default: // a wake-up is already pending
		}
	}
}

// isOutdated reports whether there is a configuration newer than the active one.
func (t *configTransfer) isOutdated() bool { return t.newestReported.Load() > t.g.configVersion() }

// setCurrent records the configuration that becomes active. It removes and returns the
// contacts of peers that had this configuration or an older one.
func (t *configTransfer) setCurrent(s *configsync.Snapshot) (included []configContact) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.current, t.unsentSnapshots = s, append(t.unsentSnapshots, s)
	if len(t.unsentSnapshots) > configsync.MaxSnapshots {
		t.unsentSnapshots = t.unsentSnapshots[1:]
	}
	n := 0
	for n < len(t.peerContacts) && t.peerContacts[n].version <= s.Ref.Version {
		n++
	}
	included, t.peerContacts = t.peerContacts[:n:n], t.peerContacts[n:]
	return included
}

// addPeerContact records a contact of a peer that has a newer configuration.
func (t *configTransfer) addPeerContact(c configContact) {
	t.mu.Lock()
	defer t.mu.Unlock()
	last := len(t.peerContacts) - 1
	switch {
	case last < 0 || t.peerContacts[last].version < c.version:
		t.peerContacts = append(t.peerContacts, c)
	case t.peerContacts[last].version == c.version:
		t.peerContacts[last].at, t.peerContacts[last].nextOffset = max(t.peerContacts[last].at, c.at), max(t.peerContacts[last].nextOffset, c.nextOffset)
	}
}

// arrivingContact returns the newest contact of peers with a newer configuration while
// a transfer is in progress.
func (t *configTransfer) arrivingContact(now time.Duration) (contact time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.peerContacts) == 0 || !t.receiver.Active(now) {
		return 0, false
	}
	return t.peerContacts[len(t.peerContacts)-1].at, true
}

// run fetches newer configurations from peers until ctx ends.
func (t *configTransfer) run(ctx context.Context) {
	for ctx.Err() == nil {
		source, request, wait := t.nextRequest()
		if source.Address != "" {
			t.fetchPart(ctx, source, request)
			continue
		}
		t.await(ctx, wait)
	}
}

// await waits until a newer configuration is reported or wait is over; 0 means no time
// limit.
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

// nextRequest selects the next part to request and the peer to request it from.
func (t *configTransfer) nextRequest() (source wire.Identity, request wire.ConfigPartRequest, wait time.Duration) {
	if !t.isOutdated() {
		return source, request, 0
	}
	sources, identities := t.g.peers.configSources(t.g.configVersion())
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.g.clock.Now()
	name, request, wait := t.receiver.NextRequest(now, t.currentRef(), sources)
	if name == "" {
		if wait <= 0 || wait > sourceRetryInterval {
			wait = sourceRetryInterval
		}
		return source, request, wait
	}
	if request.Offset == 0 {
		t.startedAt, t.receivedBytes = now, 0
	}
	return identities[name], request, 0
}

// currentRef returns the reference of the active configuration. The caller holds t.mu.
func (t *configTransfer) currentRef() wire.ConfigRef {
	if t.current == nil {
		return wire.ConfigRef{}
	}
	return t.current.Ref
}

// fetchPart requests one part and activates the configuration if it was the last one.
func (t *configTransfer) fetchPart(ctx context.Context, source wire.Identity, request wire.ConfigPartRequest) {
	ctx, cancel := context.WithTimeout(ctx, configPartTimeout)
	defer cancel()
	var part wire.ConfigPart
	_, quiet, err := t.g.peers.call(ctx, source.Address, wire.KindConfigPart, request, &part)
	t.mu.Lock()
	now := t.g.clock.Now()
	if err != nil {
		t.receiver.HandleFailure(now)
		t.mu.Unlock()
		t.g.metrics.configPartFailed()
		logline.Error(err, "config_part_failed", "peer", source.Instance, "have", request.Base.Version, "target", request.Target, "offset", request.Offset, "quiet", quiet)
		return
	}
	t.receivedBytes += len(part.Data)
	raw, done := t.receiver.HandlePart(now, part)
	base, took, bytes := t.current, now-t.startedAt, t.receivedBytes
	t.mu.Unlock()
	if !done || base != nil && base.Ref.Version >= part.Target.Version {
		return // more parts follow, or the store was read meanwhile
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
	prepared := newPreparedConfig(s)
	t.g.mu.Lock()
	defer t.g.mu.Unlock()
	t.g.activateConfig(prepared, source.Instance)
}

// handlePartRequest handles a peer's request for a part.
func (t *configTransfer) handlePartRequest(_ context.Context, _ wire.Identity, f wire.Frame) (any, error) {
	var request wire.ConfigPartRequest
	if err := f.DecodeBody(&request); err != nil {
		return nil, err
	}
	t.senderMu.Lock()
	defer t.senderMu.Unlock()
	t.mu.Lock()
	unsent := t.unsentSnapshots
	t.unsentSnapshots = nil
	t.mu.Unlock()
	for _, s := range unsent {
		t.sender.AddSnapshot(s)
	}
	return t.sender.Part(t.g.clock.Now(), request)
}

// configSources returns the peers that have a newer configuration: those with a fresh
// update or, if there are none, the others.
func (p *peers) configSources(ownVersion int64) ([]configsync.Source, map[string]wire.Identity) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.g.clock.Now()
	var fresh, others []configsync.Source
	identities := map[string]wire.Identity{}
	for name, s := range p.known {
		if s.configVersion <= ownVersion || s.state.Leaving || now-s.failedAt <= failedPeerBackoff {
			continue
		}
		identities[name] = wire.Identity{Instance: name, Address: s.Address}
		source := configsync.Source{Name: name, Version: s.configVersion, SameDomain: s.Domain == p.g.self.Domain}
		if p.isFresh(now, s) {
			fresh = append(fresh, source)
		} else {
			others = append(others, source)
		}
	}
	if len(fresh) == 0 {
		return others, identities
	}
	return fresh, identities
}
