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
	// configAskEvery is how often a peer is asked for a newer configuration.
	// It bounds how late a change comes to an instance that is cut off from
	// the platform only.
	configPollInterval   = 500 * time.Millisecond
	configRequestTimeout = time.Second
)

// configDriver keeps the configuration in force: it follows the config stream
// and asks peers, and takes whichever has the newer state.
type configDriver struct {
	ctx           context.Context
	clock         clock
	node          *peer.Node
	log           platform.Log
	peerAddresses func() []string

	mu       sync.Mutex
	follower *config.Follower
	contacts *keys.ContactTracker
	// askedLog is when the read that runs now was begun.
	logReadStart time.Duration
	logStart     int64

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

// onChange registers a function that is called with each new state, one call
// at a time. Register before run.
func (d *configDriver) onChange(f func(*config.State)) {
	d.changeHandlers = append(d.changeHandlers, f)
}

// intent is the configuration in force, or nil before the first.
func (d *configDriver) intent() *config.Intent {
	s := d.state.Load()
	if s == nil {
		return nil
	}
	return s.Intent()
}

// authorize checks a presented key against the configuration in force.
func (d *configDriver) authorize(key string) (config.Account, string, error) {
	intent := d.intent()
	d.mu.Lock()
	contact := d.contacts.ContactAt(d.clock.now(), spansDomains(intent))
	d.mu.Unlock()
	return keys.Authorize(intent, key, contact)
}

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

// view is the state in force and the oldest offset that the log retains.
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

// refresh asks the log and all peers for news at once, without waiting.
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

// take folds an answer of the log to a read that was begun at asked.
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

// publish puts the follower's state into force. Callers hold mu.
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

// askPeers asks one peer after another for a newer state until ctx ends. The
// first round asks all at once: a starting instance takes whichever of the
// log and the peers answers first.
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

// adopt takes a peer's answer to a question of the time asked. What the peer
// knew then is all that is certain: the process may have been paused since.
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

// logAgeMillis is how old the newest news from the log is; -1 for none yet.
func (d *configDriver) logAgeMillis() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	age := d.contacts.LogAge(d.clock.now())
	if age == keys.UnknownLogAge {
		return -1
	}
	return age.Milliseconds()
}
