package rollout

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/config"
)

const day = 24 * time.Hour

// bench drives one controller by hand, with a log that keeps everything.
type bench struct {
	*Controller
	ledger *State
	now    time.Duration
	goal   Goal
}

func newBench(token int64, oldEnds time.Duration, checks ...bool) *bench {
	b := &bench{ledger: NewState(), goal: Goal{Pool: "p", Model: "m", Version: "v1", MaxLoads: 9}}
	for i, c := range checks {
		b.goal.Targets = append(b.goal.Targets, config.Target{Name: string(rune('a' + i)), ChecksFencing: c})
	}
	b.Controller = NewController(DefaultSettings, b.ledger, token, oldEnds)
	return b
}

func (b *bench) see(target, incarnation, version string) {
	b.Observe(target, Observation{At: b.now, Incarnation: incarnation, Model: "m", Version: version})
}

func (b *bench) fold(records ...Record) {
	for _, r := range records {
		b.ledger.Apply(b.now, encode(r))
	}
}

// tick decides and folds what it asks to append.
func (b *bench) tick() Actions {
	r := b.Tick(b.now, day, []Goal{b.goal})
	b.fold(r.Records...)
	return r
}

// sends ticks a few times and gives the orders sent.
func (b *bench) sends() []OutgoingOrder {
	var out []OutgoingOrder
	for range 5 {
		out = append(out, b.tick().Orders...)
	}
	return out
}

// The lease has moved and the old holder's record arrives behind the new
// holder's acquire. It changes nothing: the new holder decided without it,
// so folding it would open an order that nobody counts.
func TestRecordsOfAnOlderHolderAreVoid(t *testing.T) {
	is := is.New(t)
	l := NewState()
	l.Fence(7)
	l.Apply(0, encode(Record{Issued: &Issued{ID: OrderID{Token: 3, Seq: 9}, Pool: "p", Target: "a", Version: "v2"}}))
	l.Apply(0, encode(Record{Pool: &PoolRecord{Pool: "p", State: PoolState{ID: OrderID{Token: 3, Seq: 10}, Version: "v2"}}}))
	_, known := l.Order("a")
	is.True(!known)
	_, known = l.Pool("p")
	is.True(!known)
}

// An append whose answer was lost arrives twice, the second time after the
// order was settled and after the version was halted. Neither comes back: the
// target would count as loading for ever, and the bad version would go on.
func TestLateCopiesOfRecordsChangeNothing(t *testing.T) {
	is := is.New(t)
	l := NewState()
	id := func(n uint64) OrderID { return OrderID{Token: 3, Seq: n} }
	start := Record{Pool: &PoolRecord{Pool: "p", State: PoolState{ID: id(1), Version: "v2", LastGood: "v1"}}}
	issued := Record{Issued: &Issued{ID: id(2), Pool: "p", Target: "a", Version: "v2"}}
	settled := Record{Settled: &Settled{Token: 3, Order: id(2), Pool: "p", Target: "a", Version: "v2", Failed: true}}
	halt := Record{Pool: &PoolRecord{Pool: "p", State: PoolState{ID: id(3), Version: "v2", LastGood: "v1", Halted: true}}}
	for _, r := range []Record{start, issued, settled, halt, issued, start} {
		l.Apply(0, encode(r))
	}
	o, _ := l.Order("a")
	is.True(!o.Open)
	s, _ := l.Pool("p")
	is.Equal(s.Effective(), "v1")
	failed, _ := l.Results("p")
	is.Equal(failed, 1)
}

// The old holder was paused with an order under way. A target that ignores
// fencing tokens gets nothing from the new holder until that order cannot
// arrive any more, or the old one would be carried out last.
func TestTargetWithoutFencingWaitsForTheOldHolder(t *testing.T) {
	is := is.New(t)
	b := newBench(5, 10*time.Second, true, false)
	b.goal.Version = "v2"
	b.see("a", "1", "v1")
	b.see("b", "1", "v1")
	sent := b.sends()
	is.Equal(len(sent), 1)
	is.Equal(sent[0].Target, "a")
	is.Equal(sent[0].Fence, int64(5))
	b.now = 10*time.Second + DefaultSettings.MaxOrderDelay
	b.see("b", "1", "v1")
	sent = b.sends()
	is.Equal(len(sent), 1)
	is.Equal(sent[0].Target, "b")
}

// Operators want v2 and at once v1 again, while the order for v2 is under
// way. The target serves v1 still, so nothing seems to be left to do, and v2
// would arrive later. It gets an order for v1, once v2's cannot arrive any
// more.
func TestOrderUnderWayIsAnsweredByAnother(t *testing.T) {
	is := is.New(t)
	b := newBench(5, 0, false)
	b.goal.Version = "v2"
	b.see("a", "1", "v1")
	is.Equal(b.sends()[0].Version, "v2")
	b.goal.Version = "v1"
	is.Equal(len(b.sends()), 0)
	o, _ := b.ledger.Order("a")
	is.Equal(o.Version, "v1")
	is.True(o.Open)
	b.Observe("a", Observation{At: b.now, Incarnation: "1", Model: "m", Version: "v1", Loading: "v2"})
	is.Equal(len(b.sends()), 0)
	b.now = DefaultSettings.MaxOrderDelay
	b.Observe("a", Observation{At: b.now, Incarnation: "1", Model: "m", Version: "v1", Loading: "v2"})
	sent := b.sends()
	is.Equal(len(sent), 1)
	is.Equal(sent[0].Version, "v1")
}

// The record of an order for v2 was lost, or comes late, when operators want
// v1 again. It is replaced by one for v1 although the target serves v1: the
// lost one would hold a place among those that may load for ever.
func TestRecordThatIsNotFoldedIsReplaced(t *testing.T) {
	is := is.New(t)
	b := newBench(5, 0, true)
	b.fold(Record{Pool: &PoolRecord{Pool: "p", State: PoolState{ID: OrderID{Token: 5}, Model: "m", Version: "v2", LastGood: "v1"}}})
	b.goal.Version = "v2"
	b.see("a", "1", "v1")
	lost := b.Tick(b.now, day, []Goal{b.goal}).Records
	is.Equal(lost[0].Issued.Version, "v2")
	b.goal.Version = "v1"
	is.Equal(len(b.sends()), 0)
	b.fold(lost...)
	o, _ := b.ledger.Order("a")
	is.Equal(o.Version, "v1")
}

// A holder that lost its lease without knowing, such as after a pause, finds
// a newer token in the log or at a target. It stops at once, for good.
func TestHolderThatMeetsANewerTokenStops(t *testing.T) {
	is := is.New(t)
	b := newBench(5, 0, true)
	b.goal.Version = "v2"
	b.see("a", "1", "v1")
	is.Equal(len(b.sends()), 1)
	b.ledger.Fence(6)
	r := b.tick()
	is.True(r.Stale)
	is.Equal(len(r.Orders)+len(r.Records), 0)

	b = newBench(5, 0, true)
	b.Observe("a", Observation{Fence: 6})
	is.True(b.tick().Stale)
	b.see("a", "1", "v1")
	is.True(b.tick().Stale)
}

// The right to the lease is over by the holder's own clock. It decides
// nothing, though no newer token was seen yet.
func TestNothingIsSentAfterTheLeaseEnds(t *testing.T) {
	is := is.New(t)
	b := newBench(5, 0, true)
	b.see("a", "1", "v1")
	r := b.Tick(time.Second, time.Second, []Goal{b.goal})
	is.Equal(len(r.Orders)+len(r.Records), 0)
}

// A target crashes on the version, comes back and loads it again by a
// repeated order, all between two observations. It counts as failed: taken for
// a success, a version that ends every target would go through the whole pool.
func TestRestartBetweenTwoObservationsIsAFailure(t *testing.T) {
	is := is.New(t)
	b := newBench(5, 0, true)
	b.goal.Version = "v2"
	b.see("a", "1", "v1")
	is.Equal(len(b.sends()), 1)
	b.now = DefaultSettings.MaxOrderDelay
	b.see("a", "2", "v2")
	b.tick()
	o, _ := b.ledger.Order("a")
	is.True(!o.Open && o.Failed)
}

// A target came back from a crash after its order. It is not ordered again
// before the order is settled: a bad version would crash it once more.
func TestRestartedTargetIsNotOrderedAgain(t *testing.T) {
	is := is.New(t)
	b := newBench(5, 0, true)
	b.goal.Version = "v2"
	b.see("a", "1", "v1")
	is.Equal(len(b.sends()), 1)
	b.now = DefaultSettings.ResendInterval
	b.see("a", "2", "v1")
	is.Equal(len(b.sends()), 0)
}

// A target does not come to serve the version in time, and the record that
// says so is not folded yet. The order is not repeated meanwhile: its copy
// would start a load at a target that no longer counts.
func TestOrderIsNotRepeatedOnceItsSettlingIsProposed(t *testing.T) {
	is := is.New(t)
	b := newBench(5, 0, true)
	b.goal.Version = "v2"
	b.see("a", "1", "v1")
	is.Equal(len(b.sends()), 1)
	b.now = DefaultSettings.LoadTimeout
	b.see("a", "1", "v1")
	r := b.Tick(b.now, day, []Goal{b.goal})
	is.Equal(len(r.Orders), 0)
	is.Equal(r.Records[0].Settled.Failed, true)
}

// In a pool of many targets a few crash on any day. The rollout goes on:
// two failures beside many that passed say nothing about the version.
func TestFewFailuresAmongManyDoNotHalt(t *testing.T) {
	is := is.New(t)
	b := newBench(5, 0, make([]bool, 12)...)
	b.fold(Record{Pool: &PoolRecord{Pool: "p", State: PoolState{ID: OrderID{Token: 5}, Model: "m", Version: "v2", LastGood: "v1"}}})
	b.goal.Version = "v2"
	settle := func(target string, failed bool) {
		id := OrderID{Token: 5, Seq: uint64(target[0])}
		b.fold(Record{Issued: &Issued{ID: id, Pool: "p", Target: target, Version: "v2"}},
			Record{Settled: &Settled{Token: 5, Order: id, Pool: "p", Target: target, Version: "v2", Failed: failed}})
	}
	for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i"} {
		settle(name, false)
	}
	settle("j", true)
	settle("k", true)
	b.tick()
	s, _ := b.ledger.Pool("p")
	is.True(!s.Halted)
	settle("l", true)
	b.tick()
	b.tick()
	s, _ = b.ledger.Pool("p")
	is.True(s.Halted)
	is.Equal(s.Reason, "3 targets failed on v2, 9 passed")
}

func FuzzLedger(f *testing.F) {
	f.Add([]byte("\x81\xa1k\xacorder.issued"))
	f.Fuzz(func(t *testing.T, body []byte) {
		l := NewState()
		for _, kind := range []string{string(KindPool), string(KindIssued), string(KindSettled)} {
			l.Apply(0, rawEnvelope(kind, body))
		}
		if l.token < 0 {
			t.Fatalf("token %d", l.token)
		}
	})
}
