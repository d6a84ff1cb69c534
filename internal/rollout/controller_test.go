package rollout

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/config"
)

const day = 24 * time.Hour

// harness runs one controller with a log that loses nothing.
type harness struct {
	*Controller
	state *State
	now   time.Duration
	goal  Goal
}

func newHarness(token int64, previousLeaseEnd time.Duration, checksFencing ...bool) *harness {
	h := &harness{state: NewState(), goal: Goal{Pool: "p", Model: "m", Version: "v1", MaxLoads: 9}}
	for i, checks := range checksFencing {
		h.goal.Targets = append(h.goal.Targets, config.Target{Name: string(rune('a' + i)), ChecksFencing: checks})
	}
	h.Controller = NewController(DefaultSettings, h.state, token, previousLeaseEnd)
	return h
}

func (h *harness) observe(target, incarnation, version string) {
	h.Observe(target, Observation{At: h.now, Incarnation: incarnation, Model: "m", Version: version})
}

func (h *harness) apply(records ...Record) {
	for _, r := range records {
		h.state.Apply(h.now, encodeEnvelope(r))
	}
}

// tick runs one Tick and applies the records that it returns.
func (h *harness) tick() Actions {
	r := h.Tick(h.now, day, []Goal{h.goal})
	h.apply(r.Records...)
	return r
}

// collectOrders runs a few ticks and returns the orders that they send.
func (h *harness) collectOrders() []OutgoingOrder {
	var orders []OutgoingOrder
	for range 5 {
		orders = append(orders, h.tick().Orders...)
	}
	return orders
}

// Guards against an order that the new holder does not count. The old holder's
// record arrives after the new holder's acquire. The new holder has decided
// without it, so the record must have no effect.
func TestRecordsOfEarlierHolderAreIgnored(t *testing.T) {
	is := is.New(t)
	state := NewState()
	state.Fence(7)
	state.Apply(0, encodeEnvelope(Record{Issued: &Issued{ID: OrderID{Token: 3, Seq: 9}, Pool: "p", Target: "a", Version: "v2"}}))
	state.Apply(0, encodeEnvelope(Record{Pool: &PoolRecord{Pool: "p", State: PoolState{ID: OrderID{Token: 3, Seq: 10}, Version: "v2"}}}))
	_, known := state.Order("a")
	is.True(!known)
	_, known = state.Pool("p")
	is.True(!known)
}

// Guards against duplicate records. An append whose answer was lost arrives
// twice, the second time after the order was settled and the version halted. If
// the copies had an effect, the target would count as loading for ever and the
// bad version would be rolled out further.
func TestDuplicateRecordsHaveNoEffect(t *testing.T) {
	is := is.New(t)
	state := NewState()
	id := func(n uint64) OrderID { return OrderID{Token: 3, Seq: n} }
	start := Record{Pool: &PoolRecord{Pool: "p", State: PoolState{ID: id(1), Version: "v2", LastGood: "v1"}}}
	issued := Record{Issued: &Issued{ID: id(2), Pool: "p", Target: "a", Version: "v2"}}
	settled := Record{Settled: &Settled{Token: 3, Order: id(2), Pool: "p", Target: "a", Version: "v2", Failed: true}}
	halt := Record{Pool: &PoolRecord{Pool: "p", State: PoolState{ID: id(3), Version: "v2", LastGood: "v1", Halted: true}}}
	for _, r := range []Record{start, issued, settled, halt, issued, start} {
		state.Apply(0, encodeEnvelope(r))
	}
	o, _ := state.Order("a")
	is.True(!o.Open)
	s, _ := state.Pool("p")
	is.Equal(s.Effective(), "v1")
	failed, _ := state.Results("p")
	is.Equal(failed, 1)
}

// The old holder was paused with an order in flight. The new holder must send
// nothing to a target that ignores fencing tokens until that order cannot
// arrive any more: otherwise the old order might be carried out last.
func TestTargetWithoutFencingWaitsForTheOldHolder(t *testing.T) {
	is := is.New(t)
	h := newHarness(5, 10*time.Second, true, false)
	h.goal.Version = "v2"
	h.observe("a", "1", "v1")
	h.observe("b", "1", "v1")
	sent := h.collectOrders()
	is.Equal(len(sent), 1)
	is.Equal(sent[0].Target, "a")
	is.Equal(sent[0].Fence, int64(5))
	h.now = 10*time.Second + DefaultSettings.MaxOrderDelay
	h.observe("b", "1", "v1")
	sent = h.collectOrders()
	is.Equal(len(sent), 1)
	is.Equal(sent[0].Target, "b")
}

// Operators want v2, and at once v1 again while the order for v2 is in flight.
// The target still serves v1, so nothing seems left to do, but v2 would be
// loaded later. The target must get an order for v1 once the order for v2
// cannot arrive any more.
func TestInFlightOrderIsFollowedByNewOrder(t *testing.T) {
	is := is.New(t)
	h := newHarness(5, 0, false)
	h.goal.Version = "v2"
	h.observe("a", "1", "v1")
	is.Equal(h.collectOrders()[0].Version, "v2")
	h.goal.Version = "v1"
	is.Equal(len(h.collectOrders()), 0)
	o, _ := h.state.Order("a")
	is.Equal(o.Version, "v1")
	is.True(o.Open)
	h.Observe("a", Observation{At: h.now, Incarnation: "1", Model: "m", Version: "v1", Loading: "v2"})
	is.Equal(len(h.collectOrders()), 0)
	h.now = DefaultSettings.MaxOrderDelay
	h.Observe("a", Observation{At: h.now, Incarnation: "1", Model: "m", Version: "v1", Loading: "v2"})
	sent := h.collectOrders()
	is.Equal(len(sent), 1)
	is.Equal(sent[0].Version, "v1")
}

// The record of an order for v2 is lost or late when operators want v1 again.
// It must be replaced by a record for v1 although the target serves v1:
// otherwise the lost one would occupy a load slot for ever.
func TestUnreadRecordIsReplaced(t *testing.T) {
	is := is.New(t)
	h := newHarness(5, 0, true)
	h.apply(Record{Pool: &PoolRecord{Pool: "p", State: PoolState{ID: OrderID{Token: 5}, Model: "m", Version: "v2", LastGood: "v1"}}})
	h.goal.Version = "v2"
	h.observe("a", "1", "v1")
	lost := h.Tick(h.now, day, []Goal{h.goal}).Records
	is.Equal(lost[0].Issued.Version, "v2")
	h.goal.Version = "v1"
	is.Equal(len(h.collectOrders()), 0)
	h.apply(lost...)
	o, _ := h.state.Order("a")
	is.Equal(o.Version, "v1")
}

// A holder that lost its lease without knowing, for example during a pause,
// sees a higher token in the log or at a target. It must stop at once and for
// good.
func TestHolderStopsAtHigherToken(t *testing.T) {
	is := is.New(t)
	h := newHarness(5, 0, true)
	h.goal.Version = "v2"
	h.observe("a", "1", "v1")
	is.Equal(len(h.collectOrders()), 1)
	h.state.Fence(6)
	r := h.tick()
	is.True(r.Stale)
	is.Equal(len(r.Orders)+len(r.Records), 0)

	h = newHarness(5, 0, true)
	h.Observe("a", Observation{Fence: 6})
	is.True(h.tick().Stale)
	h.observe("a", "1", "v1")
	is.True(h.tick().Stale)
}

// The lease has ended by the holder's own clock. The holder must decide
// nothing, even if it has not seen a higher token.
func TestNothingIsSentAfterTheLeaseEnds(t *testing.T) {
	is := is.New(t)
	h := newHarness(5, 0, true)
	h.observe("a", "1", "v1")
	r := h.Tick(time.Second, time.Second, []Goal{h.goal})
	is.Equal(len(r.Orders)+len(r.Records), 0)
}

// A target crashes on the version, restarts, and loads it again by a repeated
// order, all between two observations. That must count as a failure: otherwise
// a version that crashes every target would be rolled out to the whole pool.
func TestRestartBetweenTwoObservationsIsAFailure(t *testing.T) {
	is := is.New(t)
	h := newHarness(5, 0, true)
	h.goal.Version = "v2"
	h.observe("a", "1", "v1")
	is.Equal(len(h.collectOrders()), 1)
	h.now = DefaultSettings.MaxOrderDelay
	h.observe("a", "2", "v2")
	h.tick()
	o, _ := h.state.Order("a")
	is.True(!o.Open && o.Failed)
}

// A target restarts after its order. It must not get the order again before the
// order is settled: a bad version would crash it once more.
func TestRestartedTargetIsNotOrderedAgain(t *testing.T) {
	is := is.New(t)
	h := newHarness(5, 0, true)
	h.goal.Version = "v2"
	h.observe("a", "1", "v1")
	is.Equal(len(h.collectOrders()), 1)
	h.now = DefaultSettings.ResendInterval
	h.observe("a", "2", "v1")
	is.Equal(len(h.collectOrders()), 0)
}

// A target does not serve the version in time, and the record that settles its
// order has not been read back. The order must not be repeated meanwhile: the
// copy would start a load on a target that no longer counts as loading.
func TestOrderIsNotResentOnceSettlementIsProposed(t *testing.T) {
	is := is.New(t)
	h := newHarness(5, 0, true)
	h.goal.Version = "v2"
	h.observe("a", "1", "v1")
	is.Equal(len(h.collectOrders()), 1)
	h.now = DefaultSettings.LoadTimeout
	h.observe("a", "1", "v1")
	r := h.Tick(h.now, day, []Goal{h.goal})
	is.Equal(len(r.Orders), 0)
	is.Equal(r.Records[0].Settled.Failed, true)
}

// In a large pool a few targets crash on any day. Two failures next to many
// successes say nothing about the version, so the rollout must continue.
func TestFewFailuresAmongManyDoNotHalt(t *testing.T) {
	is := is.New(t)
	h := newHarness(5, 0, make([]bool, 12)...)
	h.apply(Record{Pool: &PoolRecord{Pool: "p", State: PoolState{ID: OrderID{Token: 5}, Model: "m", Version: "v2", LastGood: "v1"}}})
	h.goal.Version = "v2"
	settle := func(target string, failed bool) {
		id := OrderID{Token: 5, Seq: uint64(target[0])}
		h.apply(Record{Issued: &Issued{ID: id, Pool: "p", Target: target, Version: "v2"}},
			Record{Settled: &Settled{Token: 5, Order: id, Pool: "p", Target: target, Version: "v2", Failed: failed}})
	}
	for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i"} {
		settle(name, false)
	}
	settle("j", true)
	settle("k", true)
	h.tick()
	s, _ := h.state.Pool("p")
	is.True(!s.Halted)
	settle("l", true)
	h.tick()
	h.tick()
	s, _ = h.state.Pool("p")
	is.True(s.Halted)
	is.Equal(s.Reason, "3 targets failed on v2, 9 passed")
}

func FuzzState(f *testing.F) {
	f.Add([]byte("\x81\xa1k\xacorder.issued"))
	f.Fuzz(func(t *testing.T, body []byte) {
		state := NewState()
		for _, kind := range []string{string(KindPool), string(KindIssued), string(KindSettled)} {
			state.Apply(0, rawEnvelope(kind, body))
		}
		if state.token < 0 {
			t.Fatalf("token %d", state.token)
		}
	})
}
