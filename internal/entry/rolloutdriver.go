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
	"github.com/mastictray/mastictray/internal/responsecheck"
	"github.com/mastictray/mastictray/internal/rollout"
)

const (
	rolloutInterval    = 500 * time.Millisecond
	targetStateTimeout = time.Second
	// maxConcurrentStatePolls bounds the concurrent GET /state requests.
	maxConcurrentStatePolls = 32
	// maxAuditEntries bounds the audit entries about orders that the admin API
	// shows. Older ones are only in the log.
	maxAuditEntries = 512
)

// rolloutDriver brings targets to their configured weights versions while this
// instance holds dutyRollout. On every instance it applies the rollout records of
// the control stream, so that the next holder can continue.
type rolloutDriver struct {
	clock    clock
	settings rollout.Settings
	intent   func() *config.Intent
	// fencingToken returns the token of the dutyRollout lease, and whether the
	// lease may be used now.
	fencingToken func() (platform.Offset, bool)
	log          platform.Log
	incarnation  string
	httpClient   *http.Client

	mu         sync.Mutex
	orderState *rollout.State
	// controller is that of the current term, which has the fencing token token.
	controller   *rollout.Controller
	token        platform.Offset
	auditEntries []audit.Entry
}

func newRolloutDriver(c clock, s rollout.Settings, log platform.Log, incarnation string) *rolloutDriver {
	return &rolloutDriver{
		clock: c, settings: s, log: log, incarnation: incarnation, orderState: rollout.NewState(),
		httpClient: &http.Client{Transport: responsecheck.NewTransport(&http.Transport{MaxIdleConnsPerHost: 1})},
	}
}

// applyRecord applies a record of the control stream. dutyToken is the fencing
// token of dutyRollout as of that record.
func (d *rolloutDriver) applyRecord(offset platform.Offset, e logrec.Envelope, dutyToken platform.Offset) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.orderState.Fence(int64(dutyToken))
	d.orderState.Apply(d.clock.now(), e)
	if entry, ok := rollout.AuditEntry(int64(offset), e); ok {
		d.auditEntries = audit.Append(d.auditEntries, entry, maxAuditEntries)
	}
}

// auditTrail returns the newest audit entries about orders.
func (d *rolloutDriver) auditTrail() []audit.Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.auditEntries)
}

// run calls reconcile periodically while this instance holds the duty, until ctx
// ends.
func (d *rolloutDriver) run(ctx context.Context) {
	for ctx.Err() == nil {
		if token, held := d.fencingToken(); held {
			d.reconcile(ctx, token)
		}
		sleep(ctx, rolloutInterval)
	}
}

// reconcile polls the state of all targets, appends the records and sends the orders
// that the controller decides on.
func (d *rolloutDriver) reconcile(ctx context.Context, token platform.Offset) {
	intent := d.intent()
	if intent == nil {
		return
	}
	goals := rollout.Goals(intent)
	observations := d.observeTargets(ctx, goals)
	ready := d.planActions(token, goals, observations)
	if ready.Stale {
		logline.Info("rollout_stale", "token", token)
	}
	if len(ready.Records) > 0 {
		go d.appendRecords(ctx, ready.Records)
	}
	for _, order := range ready.Orders {
		go d.sendOrder(ctx, token, order)
	}
}

// planActions runs the controller of the current term. When this instance acquires
// the lease, that of the former holder has already expired, so that a new
// controller only waits until no order of the former holder can still arrive.
func (d *rolloutDriver) planActions(token platform.Offset, goals []rollout.Goal, observations map[string]rollout.Observation) rollout.Actions {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.now()
	if d.controller == nil || d.token != token {
		d.controller = rollout.NewController(d.settings, d.orderState, int64(token), now)
		d.token = token
		logline.Info("rollout_term", "token", token)
	}
	for target, o := range observations {
		d.controller.Observe(target, o)
	}
	// sendOrder checks the lease again before each order, so that it counts as
	// valid here.
	return d.controller.Tick(now, now+1, goals)
}

// observeTargets polls the state of all targets. Targets that do not answer are
// missing in the result.
func (d *rolloutDriver) observeTargets(ctx context.Context, goals []rollout.Goal) map[string]rollout.Observation {
	var mu sync.Mutex
	var wg sync.WaitGroup
	observations := map[string]rollout.Observation{}
	semaphore := make(chan struct{}, maxConcurrentStatePolls)
	for _, g := range goals {
		for _, t := range g.Targets {
			wg.Add(1)
			semaphore <- struct{}{}
			go func() {
				defer wg.Done()
				defer func() { <-semaphore }()
				if o, err := d.fetchState(ctx, t.Address); err == nil {
					mu.Lock()
					observations[t.Name] = o
					mu.Unlock()
				}
			}()
		}
	}
	wg.Wait()
	return observations
}

// targetState is the response of a target to GET /state.
type targetState struct {
	Incarnation string `json:"incarnation"`
	Model       string `json:"model"`
	Version     string `json:"version"`
	Loading     string `json:"loading"`
	Fence       int64  `json:"fence"`
}

func (d *rolloutDriver) fetchState(ctx context.Context, address string) (rollout.Observation, error) {
	ctx, cancel := context.WithTimeout(ctx, targetStateTimeout)
	defer cancel()
	requestedAt := d.clock.now()
	var s targetState
	if err := getJSON(ctx, d.httpClient, "http://"+address+"/state", &s); err != nil {
		return rollout.Observation{}, err
	}
	return rollout.Observation{
		At: requestedAt, Incarnation: s.Incarnation, Model: s.Model, Version: s.Version, Loading: s.Loading, Fence: s.Fence,
	}, nil
}

// appendRecords appends the records in order. Errors need no handling: the
// controller proposes a record again if it is not read back from the log.
func (d *rolloutDriver) appendRecords(ctx context.Context, records []rollout.Record) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	data := make([][]byte, 0, len(records))
	for _, r := range records {
		kind, body := r.Encode()
		raw, err := logrec.Encode(kind, d.incarnation, d.clock.wallMillis(), body)
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

// orderRequest is the body of POST /orders.
type orderRequest struct {
	Op      string `json:"op"`
	Model   string `json:"model"`
	Version string `json:"version"`
	Fence   int64  `json:"fence"`
	OrderID string `json:"order_id"`
}

// sendOrder sends one order to its target. If the process was paused since the
// decision it may have lost the lease, so the lease is checked again right before
// the request. The timeout is half of MaxOrderDelay, the time for which the next
// holder waits before it sends orders.
func (d *rolloutDriver) sendOrder(ctx context.Context, token platform.Offset, order rollout.OutgoingOrder) {
	ctx, cancel := context.WithTimeout(ctx, d.settings.MaxOrderDelay/2)
	defer cancel()
	body, err := json.Marshal(orderRequest{Op: "load", Model: order.Model, Version: order.Version, Fence: order.Fence, OrderID: order.ID.String()})
	if err != nil {
		return
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+order.Address+"/orders", bytes.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set("Content-Type", "application/json")
	if current, held := d.fencingToken(); !held || current != token {
		return
	}
	resp, err := d.httpClient.Do(req)
	if err != nil {
		logline.Error(err, "order_unanswered", "target", order.Target, "order", order.ID)
		return
	}
	drainBody(resp)
	logline.Info("order_sent", "target", order.Target, "order", order.ID, "version", order.Version, "status", resp.StatusCode)
}
