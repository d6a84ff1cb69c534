package lease

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/logrec"
	"github.com/mastictray/mastictray/internal/platform"
)

func encodeEnvelope(t *testing.T, kind logrec.Kind, by string, body any) logrec.Envelope {
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

// logWithHeldSlot returns a control stream in which a joins, acquires a slot
// and renews it at offset 2.
func logWithHeldSlot(t *testing.T) []logrec.Envelope {
	slot := RateSlot("d", 0)
	a := Member{ID: "a", Domain: "d", Address: "10.0.0.1:1"}
	return []logrec.Envelope{
		encodeEnvelope(t, KindJoin, "a", Join{Member: a}),
		encodeEnvelope(t, KindAcquire, "a", Acquire{Resource: slot, Holder: "a", Basis: BasisFree, ExpectedOffset: NoOffset, AppliedThrough: 0, Seq: 1}),
		encodeEnvelope(t, KindRenew, "a", Renew{Holder: "a", Leases: []Renewal{{Resource: slot, Token: 1}}, AppliedThrough: 1, Seq: 2}),
	}
}

func applyAll(table *Table, log []logrec.Envelope, from platform.Offset) {
	for i, e := range log[from:] {
		_ = table.Apply(0, from+platform.Offset(i), e)
	}
}

// Guards against two holders of one slot. Instance a holds the slot, the
// log loses the first two records, then b starts. Without a checkpoint b would
// see a free slot and acquire it, and both would issue the same part of every
// account's rate. With the checkpoint, b's table equals that of an instance
// that has applied every record.
func TestFreshInstanceKnowsHoldersBehindTrimmedLog(t *testing.T) {
	is := is.New(t)
	log := logWithHeldSlot(t)
	complete := NewTable()
	applyAll(complete, log, 0)
	c, ok := complete.Checkpoint()
	is.True(ok)
	log = append(log, encodeEnvelope(t, KindCheckpoint, "a", c),
		encodeEnvelope(t, KindRenew, "a", Renew{Holder: "a", Leases: []Renewal{{Resource: RateSlot("d", 0), Token: 1}}, AppliedThrough: 3, Seq: 3}))
	applyAll(complete, log, 3)

	h := NewHolder(DefaultSettings(Member{ID: "b", Domain: "d", Address: "10.0.0.2:1"}, []Resource{RateSlot("d", 0)}))
	h.HandleTrim(2)
	for i, e := range log[2:] {
		h.MarkCaughtUp()
		is.True(!containsAcquire(h.Tick(time.Hour))) // knows nothing yet, or knows the holder
		is.NoErr(h.Apply(time.Hour, platform.Offset(2+i), e))
	}
	want, _ := complete.Checkpoint()
	got, ok := h.Table().Checkpoint()
	is.True(ok)
	is.Equal(got, want)
}

func containsAcquire(actions Actions) bool {
	for _, rec := range actions.Records {
		if rec.Kind == KindAcquire {
			return true
		}
	}
	return false
}

// A checkpoint whose state ends before the trimmed start does not cover all lost
// records. Restoring it would miss those in between, so the table must go on
// waiting for a newer one.
func TestCheckpointThatMissesRecordsIsNotRestored(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	table.HandleTrim(5)
	is.NoErr(table.Apply(0, 5, encodeEnvelope(t, KindCheckpoint, "a", Checkpoint{NextOffset: 4})))
	is.True(table.AwaitingCheckpoint())
	is.NoErr(table.Apply(0, 6, encodeEnvelope(t, KindCheckpoint, "a", Checkpoint{NextOffset: 5})))
	is.True(!table.AwaitingCheckpoint())
	is.Equal(table.NextOffset(), platform.Offset(7))
}

// A checkpoint covers an instance's own acquire, so the instance does not know
// when it sent that record. It must renew the lease before it uses it, and it
// must renew: otherwise the slot would stay unused.
func TestOwnLeaseInCheckpointIsRenewedBeforeUse(t *testing.T) {
	is := is.New(t)
	slot := RateSlot("d", 0)
	self := Member{ID: "a", Domain: "d", Address: "10.0.0.1:1"}
	complete := NewTable()
	applyAll(complete, logWithHeldSlot(t), 0)
	c, _ := complete.Checkpoint()
	h := NewHolder(DefaultSettings(self, []Resource{slot}))
	h.HandleTrim(3)
	is.NoErr(h.Apply(time.Second, 3, encodeEnvelope(t, KindCheckpoint, "b", c)))
	is.True(!h.Valid(time.Second, slot))
	actions := h.Tick(time.Hour)
	is.Equal(len(actions.Records), 1)
	is.Equal(actions.Records[0].Kind, KindRenew)
	is.NoErr(h.Apply(time.Hour, 4, encodeEnvelope(t, KindRenew, "a", actions.Records[0].Body)))
	is.True(h.Valid(time.Hour, slot))
}

// Guards against a renewal that claims too much while its writer awaits a
// checkpoint. The log has lost records, among them the join of a new member. If
// the holder's renewals named records that it has only read, the new member
// could take the lease over while promises of the members that the holder knows
// still extend it.
func TestHolderAwaitingCheckpointNamesNoUnappliedRecords(t *testing.T) {
	is := is.New(t)
	slot := RateSlot("d", 0)
	h := NewHolder(DefaultSettings(Member{ID: "a", Domain: "d", Address: "10.0.0.1:1"}, []Resource{slot}))
	for i, e := range logWithHeldSlot(t) {
		is.NoErr(h.Apply(0, platform.Offset(i), e))
	}
	h.HandleTrim(10)
	h.HandleTrim(11)
	is.NoErr(h.Apply(0, 11, encodeEnvelope(t, KindJoin, "b", Join{Member: Member{ID: "b", Domain: "d"}})))
	for _, r := range h.Tick(time.Minute).Records {
		if renew, ok := r.Body.(Renew); ok {
			is.Equal(renew.AppliedThrough, platform.Offset(2))
			return
		}
	}
	is.Fail() // no renewal
}
