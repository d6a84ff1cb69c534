package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/peer"
	"github.com/mastictray/mastictray/internal/poison"
	"github.com/mastictray/mastictray/internal/wire"
)

const (
	poisonTickInterval = 50 * time.Millisecond
	poisonSendTimeout  = 200 * time.Millisecond
	// crashBatchDelay is how long requests lost in the same crash are collected
	// before the crash is reported to the peers.
	crashBatchDelay = 20 * time.Millisecond
	// permitTimeout bounds how long a suspect waits for a permit to run in
	// isolation. It allows for all requests that shared a crashed target to run
	// one after the other.
	permitTimeout = 30 * time.Second
)

// poisonDriver runs this instance's registry of poison requests, which crash
// their targets.
type poisonDriver struct {
	clock clock
	node  *peer.Node

	mu       sync.Mutex
	registry *poison.Registry
	// waiting has the requests that wait for a decision, by request id.
	waiting map[string]chan poison.Decision
	// crashBatches has the ids of the requests lost in each crash that has not
	// been reported yet.
	crashBatches map[poison.CrashID][]string
	// addresses has the peers' addresses by incarnation.
	addresses map[string]string
}

func newPoisonDriver(c clock, node *peer.Node) *poisonDriver {
	d := &poisonDriver{
		clock: c, node: node,
		registry:     poison.New(poison.Config{Self: node.Self().Incarnation, PermitRequestTimeout: permitTimeout}),
		waiting:      make(map[string]chan poison.Decision),
		crashBatches: make(map[poison.CrashID][]string),
		addresses:    make(map[string]string),
	}
	for _, kind := range []wire.Kind{
		wire.KindPoisonNotice, wire.KindPoisonAck, wire.KindPoisonPermitRequest,
		wire.KindPoisonPermitResponse, wire.KindPoisonPermitRenewal, wire.KindPoisonPermitRelease,
	} {
		node.Handle(kind, d.receive)
	}
	return d
}

// setPeers sets the live peers.
func (d *poisonDriver) setPeers(peers []wire.Identity) {
	d.mu.Lock()
	defer d.mu.Unlock()
	ids := make([]string, 0, len(peers))
	for _, p := range peers {
		ids = append(ids, p.Incarnation)
		if d.addresses[p.Incarnation] == "" {
			d.addresses[p.Incarnation] = p.Address
			d.sendState(p.Incarnation)
		}
	}
	d.registry.SetPeers(d.clock.now(), ids)
	d.processReady()
	d.removeOtherAddresses(ids)
}

// removeOtherAddresses removes the addresses of incarnations that are not
// listed. Without it the map would grow with each restart in the fleet. d.mu
// must be held.
func (d *poisonDriver) removeOtherAddresses(ids []string) {
	for id := range d.addresses {
		if !slices.Contains(ids, id) {
			delete(d.addresses, id)
		}
	}
}

// sendState sends all known crashes and quarantines to a new peer. d.mu must be
// held.
func (d *poisonDriver) sendState(incarnation string) {
	state := d.registry.State(d.clock.now())
	if len(state.Crashes)+len(state.Quarantines) > 0 {
		go d.send(poison.Message{To: incarnation, Kind: wire.KindPoisonNotice, Body: state}, d.addresses[incarnation])
	}
}

// admit submits a request to the poison registry and waits for the verdict whether
// it may be dispatched.
func (d *poisonDriver) admit(ctx context.Context, id string, fp poison.Fingerprint, pool string, targets []string) poison.Decision {
	d.mu.Lock()
	v := d.registry.Admit(d.clock.now(), id, fp, pool, targets)
	if v != poison.Wait {
		d.mu.Unlock()
		return poison.Decision{Request: id, Verdict: v}
	}
	ch := d.addWaiter(id)
	d.processReady()
	d.mu.Unlock()
	return d.waitForDecision(ctx, id, ch)
}

// addWaiter returns a channel for the next decision on a request. d.mu must be
// held.
func (d *poisonDriver) addWaiter(id string) chan poison.Decision {
	decision := make(chan poison.Decision, 1)
	d.waiting[id] = decision
	return decision
}

func (d *poisonDriver) waitForDecision(ctx context.Context, id string, ch chan poison.Decision) poison.Decision {
	select {
	case decision := <-ch:
		return decision
	case <-ctx.Done():
		d.mu.Lock()
		delete(d.waiting, id)
		d.mu.Unlock()
		return poison.Decision{Request: id, Verdict: poison.Refused}
	}
}

// noSuspects reports whether there are no suspected or quarantined requests.
func (d *poisonDriver) noSuspects() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.registry.SuspectCount() == 0
}

// registerRunning registers a request that was sent without admission because
// there were no suspects.
func (d *poisonDriver) registerRunning(id string, fp poison.Fingerprint, pool, target string, targets []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.registry.RegisterRunning(id, fp, pool, target, targets)
}

// started records that an admitted request is about to be sent to a target.
func (d *poisonDriver) started(id, target string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.registry.Started(id, target)
}

// reportCrash reports that a target crashed while it may have been running the
// request. It returns the verdict once the peers have acknowledged the crash.
func (d *poisonDriver) reportCrash(ctx context.Context, id string, crash poison.CrashID) poison.Decision {
	d.mu.Lock()
	ch := d.addWaiter(id)
	d.crashBatches[crash] = append(d.crashBatches[crash], id)
	if len(d.crashBatches[crash]) == 1 {
		time.AfterFunc(crashBatchDelay, func() { d.flushCrashBatch(crash) })
	}
	d.mu.Unlock()
	return d.waitForDecision(ctx, id, ch)
}

// flushCrashBatch passes a crash with all requests collected for it to the
// registry.
func (d *poisonDriver) flushCrashBatch(crash poison.CrashID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	lost := d.crashBatches[crash]
	delete(d.crashBatches, crash)
	logline.Info("target_crashed", "target", crash.Target, "incarnation", crash.Incarnation, "requests", len(lost))
	d.registry.TargetCrashed(d.clock.now(), crash.Target, crash.Incarnation, lost)
	d.processReady()
}

// ended records that a request has ended.
func (d *poisonDriver) ended(id string, completed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.registry.Ended(d.clock.now(), id, completed)
	d.processReady()
}

func (d *poisonDriver) run(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, poisonTickInterval)
		d.mu.Lock()
		d.registry.Tick(d.clock.now())
		d.processReady()
		d.mu.Unlock()
	}
}

// processReady delivers the registry's pending decisions and sends its
// messages. d.mu must be held.
func (d *poisonDriver) processReady() {
	ready := d.registry.Ready()
	for _, decision := range ready.Decisions {
		if ch := d.waiting[decision.Request]; ch != nil {
			delete(d.waiting, decision.Request)
			ch <- decision
		}
	}
	for _, m := range ready.Messages {
		go d.send(m, d.addresses[m.To])
	}
}

func (d *poisonDriver) send(m poison.Message, address string) {
	if address == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), poisonSendTimeout)
	defer cancel()
	if err := d.node.Send(ctx, address, m.Kind, m.Body); err != nil {
		logline.Error(err, "poison_message_lost", "kind", m.Kind, "peer", address)
	}
}

func (d *poisonDriver) receive(_ context.Context, from wire.Identity, f wire.Frame) (any, error) {
	body, err := poison.Decode(f)
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.addresses[from.Incarnation] == "" {
		d.addresses[from.Incarnation] = from.Address
	}
	d.registry.Receive(d.clock.now(), from.Incarnation, body)
	d.processReady()
	return nil, nil
}

func (d *poisonDriver) view() poisonView {
	d.mu.Lock()
	defer d.mu.Unlock()
	stats := d.registry.Stats()
	return poisonView{
		Suspects: d.registry.SuspectCount(), Crashes: stats.Crashes,
		Quarantined: stats.Quarantined, Isolated: stats.Isolated, Cleared: stats.Cleared,
	}
}
