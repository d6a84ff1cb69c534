package lease

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/logrec"
	"github.com/mastictray/mastictray/internal/platform"
)

// lapsedLog is a control stream in which b took a's slot over after a lapse; a
// may still use its floor.
func lapsedLog(t *testing.T) []logrec.Envelope {
	a := Member{ID: "a", Domain: "d", Address: "10.0.0.1:1"}
	b := Member{ID: "b", Domain: "d", Address: "10.0.0.2:1"}
	return []logrec.Envelope{
		encoded(t, KindJoin, "a", Join{Member: a}),
		encoded(t, KindJoin, "b", Join{Member: b}),
		encoded(t, KindAcquire, "a", Acquire{Resource: slot, Holder: "a", Basis: BasisFree, ExpectedOffset: NoOffset, AppliedThrough: 1, Seq: 1}),
		encoded(t, KindAcquire, "b", Acquire{Resource: slot, Holder: "b", Basis: BasisExpired, ExpectedOffset: 2, AppliedThrough: 2, Seq: 1}),
	}
}

func holderAfter(t *testing.T, m Member, log []logrec.Envelope) *Holder {
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

func yielded(r Actions) (Yield, bool) {
	for _, rec := range r.Records {
		if y, ok := rec.Body.(Yield); ok {
			return y, true
		}
	}
	return Yield{}, false
}

// Instance a is paused past its lease, b takes the slot over without the
// floor, and a thaws. Without the yield a quarter of the slot's rate would be
// minted by nobody for the hold time of six hours, and callers be refused.
func TestThawedFormerHolderYieldsItsFloor(t *testing.T) {
	is := is.New(t)
	log := lapsedLog(t)
	a := holderAfter(t, Member{ID: "a", Domain: "d", Address: "10.0.0.1:1"}, log)
	y, ok := yielded(a.Tick(time.Minute))
	is.True(ok)
	is.Equal(len(a.Grants(time.Minute)), 0) // a uses nothing of it any more

	s, _ := a.Table().State(slot)
	is.True(!s.HasFloor)
	is.NoErr(a.Apply(time.Minute, 4, encoded(t, KindYield, "a", y)))
	s, _ = a.Table().State(slot)
	is.True(s.HasFloor)
	is.Equal(s.Holder, "b")
	_, again := yielded(a.Tick(time.Hour))
	is.True(!again)
}

// Who may speak for a's floor: a, and a process that runs at a's address now.
// A yield by anybody else is void on every instance: a may be cut off and still
// spend its floor, and b would spend it too.
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
			log := append(lapsedLog(t),
				encoded(t, KindJoin, x.by.ID, Join{Member: x.by}),
				encoded(t, KindYield, x.by.ID, Yield{Resource: slot, Owner: "a", Writer: x.by.ID}))
			f := NewTable()
			foldAll(f, log, 0)
			s, _ := f.State(slot)
			is.Equal(s.HasFloor, x.floor)
		})
	}
}
