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
	configAskEvery   = 500 * time.Millisecond
	configAskTimeout = time.Second
)

// configDriver keeps the configuration in force: it follows the config stream
// and asks peers, and takes whichever has the newer state.
type configDriver struct {
	ctx   context.Context
	clock clock
	node  *peer.Node
	log   platform.Log
	peers func() []string

	mu       sync.Mutex
	follower *config.Follower
	contacts *keys.ContactTracker
	// askedLog is when the read that runs now was begun.
	askedLog time.Duration
	logStart int64

	state   atomic.Pointer[config.State]
	ready   chan struct{}
	changed []func(*config.State)
	guard   *pauseGuard
}

func newConfigDriver(ctx context.Context, c clock, node *peer.Node, log platform.Log, domain string, peers func() []string) *configDriver {
	d := &configDriver{
		ctx:      ctx,
		log:      log,
		clock:    c,
		node:     node,
		peers:    peers,
		follower: config.NewFollower(),
		contacts: keys.NewContactTracker(domain),
		ready:    make(chan struct{}),
	}
	d.guard = newPauseGuard(c.now, d.refresh)
	node.Handle(wire.KindConfigRequest, d.handleAsk)
	return d
}

// onChange registers a function that is called with each new state, one call
// at a time. Register before run.
func (d *configDriver) onChange(f func(*config.State)) { d.changed = append(d.changed, f) }

// intent is the configuration in force, or nil before the first.
func (d *configDriver) intent() *config.Intent {
	s := d.state.Load()
	if s == nil {
		return nil
	}
	return s.Intent()
}

// authorize checks a presented key against the configuration in force.
func (d *configDriver) authorize(presented string) (config.Account, string, error) {
	intent := d.intent()
	d.mu.Lock()
	contact := d.contacts.ContactAt(d.clock.now(), severalDomains(intent))
	d.mu.Unlock()
	return keys.Authorize(intent, presented, contact)
}

func severalDomains(intent *config.Intent) bool {
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
func (d *configDriver) view() (*config.State, int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.Load(), d.logStart
}

func (d *configDriver) next() platform.Offset {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.askedLog = d.clock.now()
	return platform.Offset(d.follower.Next())
}

// refresh asks the log and all peers for news at once, without waiting.
func (d *configDriver) refresh() {
	for _, addr := range d.peers() {
		go d.ask(d.ctx, addr)
	}
	go func() {
		ctx, cancel := context.WithTimeout(d.ctx, pauseRefreshTimeout)
		defer cancel()
		asked := d.clock.now()
		d.mu.Lock()
		from := platform.Offset(d.follower.Next())
		d.mu.Unlock()
		b, err := d.log.Read(ctx, platform.StreamConfig, from, tailLimit, 0)
		if err == nil && d.take(b, asked) == nil {
			logline.Info("refreshed_from_log", "next", b.Next)
		}
	}()
}

func (d *configDriver) read(b platform.Batch) error {
	d.mu.Lock()
	asked := d.askedLog
	d.mu.Unlock()
	return d.take(b, asked)
}

// take folds an answer of the log to a read that was begun at asked.
func (d *configDriver) take(b platform.Batch, asked time.Duration) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.contacts.LogRead(asked)
	d.logStart = int64(b.Start)
	_, err := d.follower.Apply(b.Records)
	d.publish()
	d.guard.handleAnswer(asked)
	return err
}

func (d *configDriver) trimmed(start platform.Offset) {
	d.mu.Lock()
	defer d.mu.Unlock()
	logline.Info("config_trimmed", "start", start)
	d.follower.SkipTo(int64(start))
}

// publish puts the follower's state into force. Callers hold mu.
func (d *configDriver) publish() {
	s, before := d.follower.State(), d.state.Load()
	if s == nil || s == before {
		return
	}
	d.state.Store(s)
	if before == nil {
		close(d.ready)
	}
	if before == nil || before.Revision != s.Revision {
		logline.Info("config_in_force", "revision", s.Revision, "next", s.Next)
		for _, f := range d.changed {
			f(s)
		}
	}
}

// askPeers asks one peer after another for a newer state until ctx ends. The
// first round asks all at once: a starting instance takes whichever of the
// log and the peers answers first.
func (d *configDriver) askPeers(ctx context.Context) {
	for _, addr := range d.peers() {
		go d.ask(ctx, addr)
	}
	for turn := 0; ctx.Err() == nil; turn++ {
		sleep(ctx, configAskEvery)
		if all := d.peers(); len(all) > 0 {
			d.ask(ctx, all[turn%len(all)])
		}
	}
}

func (d *configDriver) ask(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, configAskTimeout)
	defer cancel()
	ask := wire.ConfigRequest{Revision: config.NoRevision, NextOffset: 0}
	if s := d.state.Load(); s != nil {
		ask = wire.ConfigRequest{Revision: s.Revision, NextOffset: s.Next}
	}
	var ans wire.ConfigResponse
	asked := d.clock.now()
	from, err := d.node.Call(ctx, addr, wire.KindConfigRequest, ask, &ans)
	if err != nil {
		return
	}
	d.adopt(from, ans, asked)
	d.guard.handleAnswer(asked)
}

// adopt takes a peer's answer to a question of the time asked. What the peer
// knew then is all that is certain: the process may have been paused since.
func (d *configDriver) adopt(from wire.Identity, ans wire.ConfigResponse, asked time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	logAge := keys.UnknownLogAge
	if ans.LogAgeMillis >= 0 {
		logAge = time.Duration(ans.LogAgeMillis) * time.Millisecond
	}
	d.contacts.PeerAnswered(from.Domain, asked, logAge)
	if len(ans.State) == 0 {
		return
	}
	s, err := config.DecodeState(ans.State)
	if err != nil {
		logline.Error(err, "config_from_peer_refused", "peer", from.Address)
		return
	}
	took, err := d.follower.Adopt(s)
	if err != nil {
		logline.Error(err, "config_from_peer_refused", "peer", from.Address)
		return
	}
	if took {
		logline.Info("config_from_peer", "peer", from.Address, "revision", s.Revision)
		d.publish()
	}
}

func (d *configDriver) handleAsk(_ context.Context, _ wire.Identity, f wire.Frame) (any, error) {
	var ask wire.ConfigRequest
	if err := f.DecodeBody(&ask); err != nil {
		return nil, err
	}
	ans := wire.ConfigResponse{Revision: config.NoRevision, LogAgeMillis: d.logAgeMillis()}
	s := d.state.Load()
	if s == nil {
		return ans, nil
	}
	ans.Revision, ans.NextOffset = s.Revision, s.Next
	if s.Next <= ask.NextOffset {
		return ans, nil
	}
	raw, err := s.Encode()
	ans.State = raw
	return ans, err
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
