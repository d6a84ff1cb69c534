package lease

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/logrec"
	"github.com/mastictray/mastictray/internal/platform"
)

// logWithTakeover returns a control stream in which b takes a's slot over after
// it expired, while a may still use the floor.
func logWithTakeover(t *testing.T) []logrec.Envelope {
	a := Member{ID: "a", Domain: "d", Address: "10.0.0.1:1"}
	b := Member{ID: "b", Domain: "d", Address: "10.0.0.2:1"}
	return []logrec.Envelope{
		encodeEnvelope(t, KindJoin, "a", Join{Member: a}),
		encodeEnvelope(t, KindJoin, "b", Join{Member: b}),
		encodeEnvelope(t, KindAcquire, "a", Acquire{Resource: slot, Holder: "a", Basis: BasisFree, ExpectedOffset: NoOffset, AppliedThrough: 1, Seq: 1}),
		encodeEnvelope(t, KindAcquire, "b", Acquire{Resource: slot, Holder: "b", Basis: BasisExpired, ExpectedOffset: 2, AppliedThrough: 2, Seq: 1}),
	}
}

func replayedHolder(t *testing.T, m Member, log []logrec.Envelope) *Holder {
	t.Helper()
	h := NewHolder(DefaultSettings(m, []Resource{slot}))
	for i, e := range log {
		if err := h.Apply(time.Minute, platform.Offset(i), e); err != nil {
			t.Fatal(err)
		}
	}
	h.MarkCaughtUp()
	return h
}

func findYield(actions Actions) (Yield, bool) {
	for _, rec := range actions.Records {
		if y, ok := rec.Body.(Yield); ok {
			return y, true
		}
	}
	return Yield{}, false
}

// Guards against a floor that nobody uses. Instance a is suspended past its
// lease, b takes the slot over without the floor, and a resumes. Unless a
// releases the floor, a quarter of the slot's rate is issued by nobody for the
// hold time of six hours, and callers are refused.
func TestResumedFormerHolderYieldsItsFloor(t *testing.T) {
	is := is.New(t)
	log := logWithTakeover(t)
	a := replayedHolder(t, Member{ID: "a", Domain: "d", Address: "10.0.0.1:1"}, log)
	y, ok := findYield(a.Tick(time.Minute))
	is.True(ok)
	is.Equal(len(a.Grants(time.Minute)), 0) // a no longer uses the floor

	s, _ := a.Table().State(slot)
	is.True(!s.HasFloor)
	is.NoErr(a.Apply(time.Minute, 4, encodeEnvelope(t, KindYield, "a", y)))
	s, _ = a.Table().State(slot)
	is.True(s.HasFloor)
	is.Equal(s.Holder, "b")
	_, again := findYield(a.Tick(time.Hour))
	is.True(!again)
}

// Only a, or a later process at a's address, may release a's floor. A yield by
// any other member is invalid on every instance: a may be partitioned and still
// use the floor, and b would use it too.
func TestOnlyOwnerOrItsSuccessorYields(t *testing.T) {
	for name, x := range map[string]struct {
		by    Member
		floor bool
	}{
		"the owner":          {Member{ID: "a", Domain: "d", Address: "10.0.0.1:1"}, true},
		"its successor":      {Member{ID: "a2", Domain: "d", Address: "10.0.0.1:1"}, true},
		"the present holder": {Member{ID: "b", Domain: "d", Address: "10.0.0.2:1"}, false},
		"another member":     {Member{ID: "c", Domain: "d", Address: "10.0.0.3:1"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			log := append(logWithTakeover(t),
				encodeEnvelope(t, KindJoin, x.by.ID, Join{Member: x.by}),
				encodeEnvelope(t, KindYield, x.by.ID, Yield{Resource: slot, Owner: "a", Writer: x.by.ID}))
			table := NewTable()
			applyAll(table, log, 0)
			s, _ := table.State(slot)
			is.Equal(s.HasFloor, x.floor)
		})
	}
}
