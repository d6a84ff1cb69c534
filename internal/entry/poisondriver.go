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
	// crashGather is how long the requests that a crash broke are gathered
	// before the peers are told of all of them at once.
	crashBatchDelay = 20 * time.Millisecond
	// permitWait bounds the wait of a suspect for a target to run on alone.
	// Innocent requests that shared a crashed target wait their turn in it.
	permitTimeout = 30 * time.Second
)

// poisonDriver runs the registry of requests that crash their targets.
type poisonDriver struct {
	clock clock
	node  *peer.Node

	mu           sync.Mutex
	registry     *poison.Registry
	waiting      map[string]chan poison.Decision
	crashBatches map[poison.CrashID][]string // gathered requests
	addresses    map[string]string           // of a peer's incarnation
}

func newPoisonDriver(c clock, node *peer.Node) *poisonDriver {
	d := &poisonDriver{
		clock: c, node: node,
		registry:     poison.New(poison.Config{Self: node.Self().Incarnation, AskTimeout: permitTimeout}),
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

// setPeers gives the live peers.
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

// forgetOthers drops the addresses of processes that are gone: there is a new
// one with each restart in the fleet. Callers hold mu.
func (d *poisonDriver) removeOtherAddresses(ids []string) {
	for id := range d.addresses {
		if !slices.Contains(ids, id) {
			delete(d.addresses, id)
		}
	}
}

// introduce gives a peer that was not known all that is known here. Callers
// hold mu.
func (d *poisonDriver) sendState(incarnation string) {
	state := d.registry.State(d.clock.now())
	if len(state.Crashes)+len(state.Quarantines) > 0 {
		go d.send(poison.Message{To: incarnation, Kind: wire.KindPoisonNotice, Body: state}, d.addresses[incarnation])
	}
}

// admit asks whether a request may be dispatched, and waits for the verdict.
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

// await registers a request for its next decision. Callers hold mu.
func (d *poisonDriver) addWaiter(id string) chan poison.Decision {
	ch := make(chan poison.Decision, 1)
	d.waiting[id] = ch
	return ch
}

func (d *poisonDriver) waitForDecision(ctx context.Context, id string, ch chan poison.Decision) poison.Decision {
	select {
	case x := <-ch:
		return x
	case <-ctx.Done():
		d.mu.Lock()
		delete(d.waiting, id)
		d.mu.Unlock()
		return poison.Decision{Request: id, Verdict: poison.Refused}
	}
}

// quiet reports that no request is suspected or quarantined.
func (d *poisonDriver) noSuspects() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.registry.SuspectCount() == 0
}

// running registers a request that was sent while all was quiet.
func (d *poisonDriver) registerRunning(id string, fp poison.Fingerprint, pool, target string, targets []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.registry.RegisterRunning(id, fp, pool, target, targets)
}

// started tells that an admitted request goes to a target.
func (d *poisonDriver) started(id, target string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.registry.Started(id, target)
}

// crashed tells that a request's target was lost with it, and waits until the
// peers know.
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

// blame reports a crash with all requests gathered.
func (d *poisonDriver) flushCrashBatch(crash poison.CrashID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	lost := d.crashBatches[crash]
	delete(d.crashBatches, crash)
	logline.Info("target_crashed", "target", crash.Target, "incarnation", crash.Incarnation, "requests", len(lost))
	d.registry.TargetCrashed(d.clock.now(), crash.Target, crash.Incarnation, lost)
	d.processReady()
}

// ended tells that a request is over.
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

// work does what the registry has ready. Callers hold mu.
func (d *poisonDriver) processReady() {
	ready := d.registry.Ready()
	for _, x := range ready.Decisions {
		if ch := d.waiting[x.Request]; ch != nil {
			delete(d.waiting, x.Request)
			ch <- x
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
