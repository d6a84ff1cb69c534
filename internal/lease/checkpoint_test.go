package lease

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/logrec"
	"github.com/mastictray/mastictray/internal/platform"
)

func encoded(t *testing.T, kind logrec.Kind, by string, body any) logrec.Envelope {
	t.Helper()
	raw, err := logrec.Encode(kind, by, 0, body)
	if err != nil {
		t.Fatal(err)
	}
	e, err := logrec.Decode(raw)
	if err != nil {
		t.Fatal(err)
	}
	return e
}

// heldLog is a control stream in which a joined and acquired a mint slot long
// ago and renewed it at offset 2.
func heldLog(t *testing.T) []logrec.Envelope {
	slot := MintSlot("d", 0)
	a := Member{ID: "a", Domain: "d", Address: "10.0.0.1:1"}
	return []logrec.Envelope{
		encoded(t, KindJoin, "a", Join{Member: a}),
		encoded(t, KindAcquire, "a", Acquire{Resource: slot, Holder: "a", Basis: BasisFree, ExpectedOffset: NoOffset, AppliedThrough: 0, Seq: 1}),
		encoded(t, KindRenew, "a", Renew{Holder: "a", Leases: []Renewal{{Resource: slot, Token: 1}}, AppliedThrough: 1, Seq: 2}),
	}
}

func foldAll(f *Table, log []logrec.Envelope, from platform.Offset) {
	for i, e := range log[from:] {
		_ = f.Apply(0, from+platform.Offset(i), e)
	}
}

// Instance a holds a mint slot. The log loses the first two records, then b
// starts. Without a checkpoint b would see a free slot, acquire it, take it
// holds it, and both would mint the same part of every account's rate. With
// it, b knows the holder, and its view equals that of an instance that has
// folded everything.
func TestFreshInstanceKnowsHoldersBehindTrimmedLog(t *testing.T) {
	is := is.New(t)
	log := heldLog(t)
	whole := NewTable()
	foldAll(whole, log, 0)
	c, ok := whole.Checkpoint()
	is.True(ok)
	log = append(log, encoded(t, KindCheckpoint, "a", c),
		encoded(t, KindRenew, "a", Renew{Holder: "a", Leases: []Renewal{{Resource: MintSlot("d", 0), Token: 1}}, AppliedThrough: 3, Seq: 3}))
	foldAll(whole, log, 3)

	h := NewHolder(DefaultSettings(Member{ID: "b", Domain: "d", Address: "10.0.0.2:1"}, []Resource{MintSlot("d", 0)}))
	h.HandleTrim(2)
	for i, e := range log[2:] {
		h.MarkCaughtUp()
		is.True(!acquires(h.Tick(time.Hour))) // knows nothing yet, or knows the holder
		is.NoErr(h.Apply(time.Hour, platform.Offset(2+i), e))
	}
	want, _ := whole.Checkpoint()
	got, ok := h.Table().Checkpoint()
	is.True(ok)
	is.Equal(got, want)
}

func acquires(r Actions) bool {
	for _, rec := range r.Records {
		if rec.Kind == KindAcquire {
			return true
		}
	}
	return false
}

// The checkpoint in the log stands for fewer records than were lost: an older
// one, read from behind the trimmed start. Starting from it would miss the
// records in between, so the fold goes on searching.
func TestCheckpointThatMissesRecordsIsNotTaken(t *testing.T) {
	is := is.New(t)
	f := NewTable()
	f.HandleTrim(5)
	is.NoErr(f.Apply(0, 5, encoded(t, KindCheckpoint, "a", Checkpoint{NextOffset: 4})))
	is.True(f.AwaitingCheckpoint())
	is.NoErr(f.Apply(0, 6, encoded(t, KindCheckpoint, "a", Checkpoint{NextOffset: 5})))
	is.True(!f.AwaitingCheckpoint())
	is.Equal(f.NextOffset(), platform.Offset(7))
}

// An instance's own acquire is covered by the checkpoint that it starts its
// fold from again, so it cannot tell when it sent it. It must not use the lease
// on that ground, but has to renew it: else the slot would lie idle.
func TestOwnLeaseInCheckpointIsRenewedBeforeUse(t *testing.T) {
	is := is.New(t)
	slot := MintSlot("d", 0)
	self := Member{ID: "a", Domain: "d", Address: "10.0.0.1:1"}
	whole := NewTable()
	foldAll(whole, heldLog(t), 0)
	c, _ := whole.Checkpoint()
	h := NewHolder(DefaultSettings(self, []Resource{slot}))
	h.HandleTrim(3)
	is.NoErr(h.Apply(time.Second, 3, encoded(t, KindCheckpoint, "b", c)))
	is.True(!h.Valid(time.Second, slot))
	work := h.Tick(time.Hour)
	is.Equal(len(work.Records), 1)
	is.Equal(work.Records[0].Kind, KindRenew)
	is.NoErr(h.Apply(time.Hour, 4, encoded(t, KindRenew, "a", work.Records[0].Body)))
	is.True(h.Valid(time.Hour, slot))
}

// A holder was away so long that the log lost records, among them the join of
// a newcomer. It goes on renewing while it searches for a checkpoint. If its
// renewals said that it has seen what it only read, the newcomer could take
// over while promises of the members it knows extend the lease.
func TestSearchingHolderClaimsToHaveSeenNothingNew(t *testing.T) {
	is := is.New(t)
	slot := MintSlot("d", 0)
	h := NewHolder(DefaultSettings(Member{ID: "a", Domain: "d", Address: "10.0.0.1:1"}, []Resource{slot}))
	for i, e := range heldLog(t) {
		is.NoErr(h.Apply(0, platform.Offset(i), e))
	}
	h.HandleTrim(10)
	h.HandleTrim(11)
	is.NoErr(h.Apply(0, 11, encoded(t, KindJoin, "b", Join{Member: Member{ID: "b", Domain: "d"}})))
	for _, r := range h.Tick(time.Minute).Records {
		if renew, ok := r.Body.(Renew); ok {
			is.Equal(renew.AppliedThrough, platform.Offset(2))
			return
		}
	}
	is.Fail() // no renewal
}
