package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mastictray/mastictray/internal/config"
	"github.com/mastictray/mastictray/internal/keys"
	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/peer"
	"github.com/mastictray/mastictray/internal/platform"
	"github.com/mastictray/mastictray/internal/wire"
)

const (
	// configPollInterval is the time between two requests for a newer
	// configuration, each to one peer in turn. It bounds the delay of a change
	// on an instance that is partitioned from the log but not from its peers.
	configPollInterval   = 500 * time.Millisecond
	configRequestTimeout = time.Second
)

// configDriver keeps the current configuration. It reads the config stream, polls
// peers, and adopts whichever state is newer.
type configDriver struct {
	ctx           context.Context
	clock         clock
	node          *peer.Node
	log           platform.Log
	peerAddresses func() []string

	mu       sync.Mutex
	follower *config.Follower
	contacts *keys.ContactTracker
	// logReadStart is when the current read of the log began.
	logReadStart time.Duration
	// logStart is the oldest offset that the log retained at the last read.
	logStart int64

	state          atomic.Pointer[config.State]
	ready          chan struct{}
	changeHandlers []func(*config.State)
	guard          *pauseGuard
}

func newConfigDriver(ctx context.Context, c clock, node *peer.Node, log platform.Log, domain string, peers func() []string) *configDriver {
	d := &configDriver{
		ctx:           ctx,
		log:           log,
		clock:         c,
		node:          node,
		peerAddresses: peers,
		follower:      config.NewFollower(),
		contacts:      keys.NewContactTracker(domain),
		ready:         make(chan struct{}),
	}
	d.guard = newPauseGuard(c.now, d.refresh)
	node.Handle(wire.KindConfigRequest, d.handleRequest)
	return d
}

// onChange registers a function that is called with the new state whenever the
// revision changes. Calls do not overlap. It must be called before the driver's
// goroutines start.
func (d *configDriver) onChange(f func(*config.State)) {
	d.changeHandlers = append(d.changeHandlers, f)
}

// intent returns the current configuration, or nil if none is known yet.
func (d *configDriver) intent() *config.Intent {
	s := d.state.Load()
	if s == nil {
		return nil
	}
	return s.Intent()
}

// authorize checks a caller's key against the current configuration. It returns
// the account and the ID of the key.
func (d *configDriver) authorize(key string) (config.Account, string, error) {
	intent := d.intent()
	d.mu.Lock()
	contact := d.contacts.ContactAt(d.clock.now(), spansDomains(intent))
	d.mu.Unlock()
	return keys.Authorize(intent, key, contact)
}

// spansDomains reports whether the targets are in more than one failure domain.
func spansDomains(intent *config.Intent) bool {
	first := ""
	for _, t := range intent.Targets {
		if first != "" && t.Domain != first {
			return true
		}
		first = t.Domain
	}
	return false
}

// stateAndLogStart returns the current state and the oldest offset that the log
// retains.
func (d *configDriver) stateAndLogStart() (*config.State, int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.Load(), d.logStart
}

func (d *configDriver) nextOffset() platform.Offset {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.logReadStart = d.clock.now()
	return platform.Offset(d.follower.Next())
}

// refresh starts a read of the log and requests to all peers, and returns without
// waiting for the answers.
func (d *configDriver) refresh() {
	for _, addr := range d.peerAddresses() {
		go d.requestFrom(d.ctx, addr)
	}
	go func() {
		ctx, cancel := context.WithTimeout(d.ctx, pauseRefreshTimeout)
		defer cancel()
		requestedAt := d.clock.now()
		d.mu.Lock()
		from := platform.Offset(d.follower.Next())
		d.mu.Unlock()
		b, err := d.log.Read(ctx, platform.StreamConfig, from, tailBatchLimit, 0)
		if err == nil && d.applyLogBatch(b, requestedAt) == nil {
			logline.Info("refreshed_from_log", "next", b.Next)
		}
	}()
}

func (d *configDriver) handleBatch(b platform.Batch) error {
	d.mu.Lock()
	requestedAt := d.logReadStart
	d.mu.Unlock()
	return d.applyLogBatch(b, requestedAt)
}

// applyLogBatch applies the result of a log read that began at requestedAt.
func (d *configDriver) applyLogBatch(b platform.Batch, requestedAt time.Duration) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.contacts.LogRead(requestedAt)
	d.logStart = int64(b.Start)
	_, err := d.follower.Apply(b.Records)
	d.publish()
	d.guard.handleAnswer(requestedAt)
	return err
}

func (d *configDriver) handleTrim(start platform.Offset) {
	d.mu.Lock()
	defer d.mu.Unlock()
	logline.Info("config_trimmed", "start", start)
	d.follower.SkipTo(int64(start))
}

// publish makes the follower's state the current one. The caller holds mu.
func (d *configDriver) publish() {
	current, previous := d.follower.State(), d.state.Load()
	if current == nil || current == previous {
		return
	}
	d.state.Store(current)
	if previous == nil {
		close(d.ready)
	}
	if previous == nil || previous.Revision != current.Revision {
		logline.Info("config_in_force", "revision", current.Revision, "next", current.Next)
		for _, handler := range d.changeHandlers {
			handler(current)
		}
	}
}

// pollPeers requests a newer state from one peer after another until ctx ends. The
// first round goes to all peers at once, so that a starting instance can use the
// first answer, be it from the log or from a peer.
func (d *configDriver) pollPeers(ctx context.Context) {
	for _, addr := range d.peerAddresses() {
		go d.requestFrom(ctx, addr)
	}
	for next := 0; ctx.Err() == nil; next++ {
		sleep(ctx, configPollInterval)
		if peers := d.peerAddresses(); len(peers) > 0 {
			d.requestFrom(ctx, peers[next%len(peers)])
		}
	}
}

// requestFrom requests a newer state from one peer.
func (d *configDriver) requestFrom(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, configRequestTimeout)
	defer cancel()
	req := wire.ConfigRequest{Revision: config.NoRevision, NextOffset: 0}
	if s := d.state.Load(); s != nil {
		req = wire.ConfigRequest{Revision: s.Revision, NextOffset: s.Next}
	}
	var resp wire.ConfigResponse
	requestedAt := d.clock.now()
	from, err := d.node.Call(ctx, addr, wire.KindConfigRequest, req, &resp)
	if err != nil {
		return
	}
	d.handleResponse(from, resp, requestedAt)
	d.guard.handleAnswer(requestedAt)
}

// handleResponse handles a peer's response to a request sent at requestedAt. The
// response counts as contact at that time, not at its arrival: the process may
// have been paused in between.
func (d *configDriver) handleResponse(from wire.Identity, resp wire.ConfigResponse, requestedAt time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	logAge := keys.UnknownLogAge
	if resp.LogAgeMillis >= 0 {
		logAge = time.Duration(resp.LogAgeMillis) * time.Millisecond
	}
	d.contacts.PeerAnswered(from.Domain, requestedAt, logAge)
	if len(resp.State) == 0 {
		return
	}
	s, err := config.DecodeState(resp.State)
	if err != nil {
		logline.Error(err, "config_from_peer_refused", "peer", from.Address)
		return
	}
	adopted, err := d.follower.Adopt(s)
	if err != nil {
		logline.Error(err, "config_from_peer_refused", "peer", from.Address)
		return
	}
	if adopted {
		logline.Info("config_from_peer", "peer", from.Address, "revision", s.Revision)
		d.publish()
	}
}

// handleRequest responds to a peer with the current state, if that is newer than
// the peer's.
func (d *configDriver) handleRequest(_ context.Context, _ wire.Identity, f wire.Frame) (any, error) {
	var req wire.ConfigRequest
	if err := f.DecodeBody(&req); err != nil {
		return nil, err
	}
	resp := wire.ConfigResponse{Revision: config.NoRevision, LogAgeMillis: d.logAgeMillis()}
	s := d.state.Load()
	if s == nil {
		return resp, nil
	}
	resp.Revision, resp.NextOffset = s.Revision, s.Next
	if s.Next <= req.NextOffset {
		return resp, nil
	}
	raw, err := s.Encode()
	resp.State = raw
	return resp, err
}

// logAgeMillis returns the time since this instance, or one whose data has reached
// it, last read the log; -1 if there was no such read.
func (d *configDriver) logAgeMillis() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	age := d.contacts.LogAge(d.clock.now())
	if age == keys.UnknownLogAge {
		return -1
	}
	return age.Milliseconds()
}
