package entry

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/config"
	"github.com/mastictray/mastictray/internal/logrec"
	"github.com/mastictray/mastictray/internal/platform"
	"github.com/mastictray/mastictray/internal/rollout"
	"github.com/mastictray/mastictray/internal/standin/engine"
	"github.com/mastictray/mastictray/internal/standin/logsvc"
)

// rolloutFixture is a driver with a log and two engines, connected over TCP.
type rolloutFixture struct {
	t       *testing.T
	log     platform.Log
	driver  *rolloutDriver
	engines []*engine.Engine
	intent  *config.Intent
	pool    rollout.PoolState
	next    platform.Offset
}

func newRolloutFixture(t *testing.T) *rolloutFixture {
	service := httptest.NewServer(logsvc.New(logsvc.Config{}).Handler())
	t.Cleanup(service.Close)
	f := &rolloutFixture{t: t, log: platform.NewHTTPLog(service.URL, nil), intent: &config.Intent{
		Models:  map[string]config.Model{"m": {Name: "m", Version: "v1"}},
		Pools:   map[string]config.Pool{"p": {Name: "p", Kind: config.KindEngine, Model: "m", ServingFloor: 1, MaxLoads: 1}},
		Targets: map[string]config.Target{},
	}}
	for _, name := range []string{"a", "b"} {
		e := engine.New(engine.Config{Model: "m", Version: "v1", ChecksFencing: name == "a", PieceBytes: 1, CachePieces: 1, PrefillTPS: 1, DecodeTPS: 1})
		server := httptest.NewServer(e.Handler())
		t.Cleanup(server.Close)
		f.engines = append(f.engines, e)
		f.intent.Targets[name] = config.Target{
			Name: name, Pool: "p", Address: strings.TrimPrefix(server.URL, "http://"), ChecksFencing: name == "a",
		}
	}
	s := rollout.DefaultSettings
	s.MaxOrderDelay, s.SoakTime, s.ResendInterval, s.ReproposeAfter = 100*time.Millisecond, 100*time.Millisecond, 10*time.Millisecond, 10*time.Millisecond
	f.driver = newRolloutDriver(newClock(), s, f.log, "entry-1")
	f.driver.intent = func() *config.Intent { return f.intent }
	f.driver.fencingToken = func() (platform.Offset, bool) { return 0, true }
	return f
}

// runUntil calls reconcile and applies the log until wanted accepts the pool's
// state.
func (f *rolloutFixture) runUntil(ctx context.Context, wanted func(rollout.PoolState) bool) {
	f.t.Helper()
	for !wanted(f.pool) {
		if ctx.Err() != nil {
			f.t.Fatalf("timed out with pool state %+v", f.pool)
		}
		f.driver.reconcile(ctx, 0)
		batch, err := f.log.Read(ctx, platform.StreamControl, f.next, 100, 10*time.Millisecond)
		if err != nil {
			f.t.Fatal(err)
		}
		for _, r := range batch.Records {
			e, err := logrec.Decode(r.Data)
			if err != nil {
				f.t.Fatal(err)
			}
			f.driver.applyRecord(r.Offset, e, 0)
			f.next = r.Offset + 1
		}
		f.driver.mu.Lock()
		f.pool, _ = f.driver.orderState.Pool("p")
		f.driver.mu.Unlock()
	}
}

// After the configuration changes to v2, both targets must serve it, and the audit
// trail must name the issuer and both versions of each order.
func TestRolloutOverSockets(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	f := newRolloutFixture(t)
	f.runUntil(ctx, func(s rollout.PoolState) bool { return s.LastGood == "v1" })
	wanted := *f.intent
	wanted.Models = map[string]config.Model{"m": {Name: "m", Version: "v2"}}
	f.intent = &wanted
	f.runUntil(ctx, func(s rollout.PoolState) bool { return s.LastGood == "v2" })
	for _, e := range f.engines {
		is.Equal(e.State().Version, "v2")
	}
	issued := 0
	for _, entry := range f.driver.auditTrail() {
		if entry.Kind == string(rollout.KindIssued) {
			issued++
			is.Equal(entry.Subjects[0].Before, "v1")
			is.Equal(entry.Subjects[0].After, "v2")
			is.Equal(entry.By, "entry-1")
		}
	}
	is.True(issued >= 2)
}

// The instance loses the duty between the decision and the send, for example during
// a pause of the process. The order must not reach the target.
func TestOrderNotSentWithoutDuty(t *testing.T) {
	is := is.New(t)
	f := newRolloutFixture(t)
	f.driver.fencingToken = func() (platform.Offset, bool) { return 0, false }
	f.driver.sendOrder(context.Background(), 0, rollout.OutgoingOrder{
		Target: "a", Address: f.intent.Targets["a"].Address, Model: "m", Version: "v2", Fence: 9,
	})
	is.Equal(f.engines[0].State().Fence, int64(0))
	is.Equal(f.engines[0].State().Loading, "")
	is.Equal(f.engines[0].State().Version, "v1")
}
