package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/mastictray/mastictray/internal/audit"
	"github.com/mastictray/mastictray/internal/config"
	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/logrec"
	"github.com/mastictray/mastictray/internal/platform"
	"github.com/mastictray/mastictray/internal/rollout"
)

const (
	rolloutEvery = 500 * time.Millisecond
	stateTimeout = time.Second
	// statePolls bounds how many targets are asked for their state at once.
	statePolls = 32
	// maxTrail bounds the entries about orders that the admin API shows;
	// the log has the rest.
	maxTrail = 512
)

// rolloutDriver brings targets to their wanted versions while this instance
// holds the duty. On every instance it folds what the control stream says
// about orders, so that the next holder can go on.
type rolloutDriver struct {
	clock    clock
	settings rollout.Settings
	intent   func() *config.Intent
	// duty gives the fencing token while the lease may be used.
	duty func() (platform.Offset, bool)
	log  platform.Log
	self string
	http *http.Client

	mu         sync.Mutex
	ledger     *rollout.State
	controller *rollout.Controller
	token      platform.Offset
	trail      []audit.Entry
}

func newRolloutDriver(c clock, s rollout.Settings, log platform.Log, self string) *rolloutDriver {
	return &rolloutDriver{
		clock: c, settings: s, log: log, self: self, ledger: rollout.NewState(),
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}},
	}
}

// fold takes a record of the control stream, and the token of the duty's
// newest lease at that place.
func (d *rolloutDriver) fold(offset platform.Offset, e logrec.Envelope, newest platform.Offset) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ledger.Fence(int64(newest))
	d.ledger.Apply(d.clock.now(), e)
	if entry, ok := rollout.AuditEntry(int64(offset), e); ok {
		d.trail = audit.Append(d.trail, entry, maxTrail)
	}
}

// orders is the newest part of the audit trail of orders.
func (d *rolloutDriver) orders() []audit.Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.trail)
}

func (d *rolloutDriver) run(ctx context.Context) {
	for ctx.Err() == nil {
		if token, held := d.duty(); held {
			d.round(ctx, token)
		}
		sleep(ctx, rolloutEvery)
	}
}

// round observes all targets, decides and acts.
func (d *rolloutDriver) round(ctx context.Context, token platform.Offset) {
	intent := d.intent()
	if intent == nil {
		return
	}
	goals := rollout.Goals(intent)
	seen := d.observe(ctx, goals)
	ready := d.decide(token, goals, seen)
	if ready.Stale {
		logline.Info("rollout_stale", "token", token)
	}
	if len(ready.Records) > 0 {
		go d.append(ctx, ready.Records)
	}
	for _, s := range ready.Orders {
		go d.send(ctx, token, s)
	}
}

// decide ticks the controller of this term. The lease of a former holder has
// lapsed by the time this one takes it, so only its margin is waited out.
func (d *rolloutDriver) decide(token platform.Offset, goals []rollout.Goal, seen map[string]rollout.Observation) rollout.Actions {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.now()
	if d.controller == nil || d.token != token {
		d.controller = rollout.NewController(d.settings, d.ledger, int64(token), now)
		d.token = token
		logline.Info("rollout_term", "token", token)
	}
	for target, o := range seen {
		d.controller.Observe(target, o)
	}
	// The duty is checked again before each send; here it stands.
	return d.controller.Tick(now, now+1, goals)
}

// observe asks all targets for their state.
func (d *rolloutDriver) observe(ctx context.Context, goals []rollout.Goal) map[string]rollout.Observation {
	var mu sync.Mutex
	var wg sync.WaitGroup
	seen := map[string]rollout.Observation{}
	slots := make(chan struct{}, statePolls)
	for _, g := range goals {
		for _, t := range g.Targets {
			wg.Add(1)
			slots <- struct{}{}
			go func() {
				defer wg.Done()
				defer func() { <-slots }()
				if o, err := d.state(ctx, t.Address); err == nil {
					mu.Lock()
					seen[t.Name] = o
					mu.Unlock()
				}
			}()
		}
	}
	wg.Wait()
	return seen
}

// targetState is a target's answer to GET /state.
type targetState struct {
	Incarnation string `json:"incarnation"`
	Model       string `json:"model"`
	Version     string `json:"version"`
	Loading     string `json:"loading"`
	Fence       int64  `json:"fence"`
}

func (d *rolloutDriver) state(ctx context.Context, address string) (rollout.Observation, error) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	asked := d.clock.now()
	var s targetState
	if err := getJSON(ctx, d.http, "http://"+address+"/state", &s); err != nil {
		return rollout.Observation{}, err
	}
	return rollout.Observation{
		At: asked, Incarnation: s.Incarnation, Model: s.Model, Version: s.Version, Loading: s.Loading, Fence: s.Fence,
	}, nil
}

// append stores the records in order. Whatever becomes of it is settled by
// the fold: what does not show up there is proposed again.
func (d *rolloutDriver) append(ctx context.Context, records []rollout.Record) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	data := make([][]byte, 0, len(records))
	for _, r := range records {
		kind, body := r.Encode()
		raw, err := logrec.Encode(kind, d.self, d.clock.wallMillis(), body)
		if err != nil {
			logline.Error(err, "rollout_record_failed")
			return
		}
		data = append(data, raw)
	}
	if _, err := d.log.Append(ctx, platform.StreamControl, data); err != nil {
		logline.Error(err, "rollout_append_failed", "records", len(data))
	}
}

// order is the body of POST /orders.
type order struct {
	Op      string `json:"op"`
	Model   string `json:"model"`
	Version string `json:"version"`
	Fence   int64  `json:"fence"`
	OrderID string `json:"order_id"`
}

// send gives one order. A process that was paused since the decision may have
// lost the lease meanwhile, so the duty is checked again right here; the call
// ends within the margin that the next holder waits out.
func (d *rolloutDriver) send(ctx context.Context, token platform.Offset, s rollout.OutgoingOrder) {
	ctx, cancel := context.WithTimeout(ctx, d.settings.MaxOrderDelay/2)
	defer cancel()
	body, err := json.Marshal(order{Op: "load", Model: s.Model, Version: s.Version, Fence: s.Fence, OrderID: s.ID.String()})
	if err != nil {
		return
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.Address+"/orders", bytes.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set("Content-Type", "application/json")
	if now, held := d.duty(); !held || now != token {
		return
	}
	resp, err := d.http.Do(req)
	if err != nil {
		logline.Error(err, "order_unanswered", "target", s.Target, "order", s.ID)
		return
	}
	drainBody(resp)
	logline.Info("order_sent", "target", s.Target, "order", s.ID, "version", s.Version, "status", resp.StatusCode)
}
