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

// rolloutBench is a driver with a log and two engines, over real sockets.
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
	b := &rolloutFixture{t: t, log: platform.NewHTTPLog(service.URL, nil), intent: &config.Intent{
		Models:  map[string]config.Model{"m": {Name: "m", Version: "v1"}},
		Pools:   map[string]config.Pool{"p": {Name: "p", Kind: config.KindEngine, Model: "m", ServingFloor: 1, MaxLoads: 1}},
		Targets: map[string]config.Target{},
	}}
	for _, name := range []string{"a", "b"} {
		e := engine.New(engine.Config{Model: "m", Version: "v1", ChecksFencing: name == "a", PieceBytes: 1, CachePieces: 1, PrefillTPS: 1, DecodeTPS: 1})
		server := httptest.NewServer(e.Handler())
		t.Cleanup(server.Close)
		b.engines = append(b.engines, e)
		b.intent.Targets[name] = config.Target{
			Name: name, Pool: "p", Address: strings.TrimPrefix(server.URL, "http://"), ChecksFencing: name == "a",
		}
	}
	s := rollout.DefaultSettings
	s.MaxOrderDelay, s.SoakTime, s.ResendInterval, s.ReproposeAfter = 100*time.Millisecond, 100*time.Millisecond, 10*time.Millisecond, 10*time.Millisecond
	b.driver = newRolloutDriver(newClock(), s, b.log, "entry-1")
	b.driver.intent = func() *config.Intent { return b.intent }
	b.driver.fencingToken = func() (platform.Offset, bool) { return 0, true }
	return b
}

// until runs rounds and folds the log until the pool's state is as wanted.
func (b *rolloutFixture) runUntil(ctx context.Context, wanted func(rollout.PoolState) bool) {
	b.t.Helper()
	for !wanted(b.pool) {
		if ctx.Err() != nil {
			b.t.Fatalf("state is %+v", b.pool)
		}
		b.driver.reconcile(ctx, 0)
		batch, err := b.log.Read(ctx, platform.StreamControl, b.next, 100, 10*time.Millisecond)
		if err != nil {
			b.t.Fatal(err)
		}
		for _, r := range batch.Records {
			e, err := logrec.Decode(r.Data)
			if err != nil {
				b.t.Fatal(err)
			}
			b.driver.applyRecord(r.Offset, e, 0)
			b.next = r.Offset + 1
		}
		b.driver.mu.Lock()
		b.pool, _ = b.driver.orderState.Pool("p")
		b.driver.mu.Unlock()
	}
}

// Operators want v2. Over real sockets, both targets come to serve it one
// after the other, and the trail says by whom, from which version to which.
func TestRolloutOverSockets(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	b := newRolloutFixture(t)
	b.runUntil(ctx, func(s rollout.PoolState) bool { return s.LastGood == "v1" })
	wanted := *b.intent
	wanted.Models = map[string]config.Model{"m": {Name: "m", Version: "v2"}}
	b.intent = &wanted
	b.runUntil(ctx, func(s rollout.PoolState) bool { return s.LastGood == "v2" })
	for _, e := range b.engines {
		is.Equal(e.State().Version, "v2")
	}
	issued := 0
	for _, entry := range b.driver.auditTrail() {
		if entry.Kind == string(rollout.KindIssued) {
			issued++
			is.Equal(entry.Subjects[0].Before, "v1")
			is.Equal(entry.Subjects[0].After, "v2")
			is.Equal(entry.By, "entry-1")
		}
	}
	is.True(issued >= 2)
}

// The instance loses the duty between its decision and the send, as after a
// pause. The target gets nothing.
func TestOrderNotSentWithoutDuty(t *testing.T) {
	is := is.New(t)
	b := newRolloutFixture(t)
	b.driver.fencingToken = func() (platform.Offset, bool) { return 0, false }
	b.driver.sendOrder(context.Background(), 0, rollout.OutgoingOrder{
		Target: "a", Address: b.intent.Targets["a"].Address, Model: "m", Version: "v2", Fence: 9,
	})
	is.Equal(b.engines[0].State().Fence, int64(0))
	is.Equal(b.engines[0].State().Loading, "")
	is.Equal(b.engines[0].State().Version, "v1")
}
