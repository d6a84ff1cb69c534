package membership

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mastictray/mastictray/internal/wire"
)

// maxPast bounds the earlier incarnations remembered of a target.
const maxPast = 4

// target is what is known of one target.
type target struct {
	fact wire.TargetRecord
	// changed is when the fact last changed here.
	changed time.Duration
}

// setDraining takes the list's word as of a time. Lists lag and peers read
// different ages of it: an older word never replaces a newer one.
func (t *target) setDraining(draining, gone bool, asOf int64) bool {
	if asOf <= t.fact.AsOfMillis {
		return false
	}
	t.fact.AsOfMillis = asOf
	if draining == t.fact.Draining && gone == t.fact.Gone {
		return false
	}
	t.fact.Draining, t.fact.Gone = draining, gone
	return true
}

// observe takes an incarnation that this instance has seen itself. A late
// answer of an earlier one changes nothing: it would bring back trust in a
// cache that is gone.
func (t *target) observe(incarnation string) bool {
	if incarnation == "" || incarnation == t.fact.Incarnation || slices.Contains(t.fact.PastIncarnations, incarnation) {
		return false
	}
	t.retire()
	t.fact.Incarnation = incarnation
	t.fact.Epoch++
	return true
}

func (t *target) retire() {
	if t.fact.Incarnation == "" {
		return
	}
	past := append(slices.Clone(t.fact.PastIncarnations), t.fact.Incarnation)
	t.fact.PastIncarnations = past[max(0, len(past)-maxPast):]
}

// learn takes a peer's word on the incarnation. With equal epochs both have
// seen a different one and neither knows the order: each goes on with its own
// until it sees the target again.
func (t *target) learn(f wire.TargetRecord) bool {
	if f.Epoch <= t.fact.Epoch || slices.Contains(t.fact.PastIncarnations, f.Incarnation) {
		return false
	}
	if f.Incarnation != t.fact.Incarnation {
		t.retire()
	}
	for _, p := range f.PastIncarnations[:min(len(f.PastIncarnations), maxPast)] {
		if !slices.Contains(t.fact.PastIncarnations, p) && p != f.Incarnation {
			t.fact.PastIncarnations = append(t.fact.PastIncarnations, p)
		}
	}
	t.fact.PastIncarnations = t.fact.PastIncarnations[max(0, len(t.fact.PastIncarnations)-maxPast):]
	t.fact.Incarnation, t.fact.Epoch = f.Incarnation, f.Epoch
	return true
}

// digest is the target's part of its bucket's digest. One that is gone counts
// like one that was forgotten.
func (t *target) digest() uint32 {
	if t.fact.Gone {
		return 0
	}
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(t.fact.Target)
	_, _ = d.WriteString("\x00" + t.fact.Incarnation)
	draining := byte(0)
	if t.fact.Draining {
		draining = 1
	}
	_, _ = d.Write([]byte{draining, byte(t.fact.Epoch), byte(t.fact.Epoch >> 8)})
	return uint32(d.Sum64())
}
