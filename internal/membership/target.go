package membership

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mastictray/mastictray/internal/wire"
)

// maxPastIncarnations is the number of earlier incarnations kept per target.
const maxPastIncarnations = 4

// target is the local state of a target.
type target struct {
	record wire.TargetRecord
	// changed is when the record last changed at this instance.
	changed time.Duration
}

// applyListed applies the target's state in the platform's list as of a time. The list
// lags, and peers read states of different age: an older one never replaces a newer.
func (t *target) applyListed(draining, gone bool, asOf int64) bool {
	if asOf <= t.record.AsOfMillis {
		return false
	}
	t.record.AsOfMillis = asOf
	if draining == t.record.Draining && gone == t.record.Gone {
		return false
	}
	t.record.Draining, t.record.Gone = draining, gone
	return true
}

// observe applies an incarnation that this instance has observed itself. A late
// response of an earlier incarnation has no effect: otherwise requests would rely on
// a cache that is gone.
func (t *target) observe(incarnation string) bool {
	if incarnation == "" || incarnation == t.record.Incarnation || slices.Contains(t.record.PastIncarnations, incarnation) {
		return false
	}
	t.retireIncarnation()
	t.record.Incarnation = incarnation
	t.record.Epoch++
	return true
}

// retireIncarnation moves the current incarnation to the past ones.
func (t *target) retireIncarnation() {
	if t.record.Incarnation == "" {
		return
	}
	past := append(slices.Clone(t.record.PastIncarnations), t.record.Incarnation)
	t.record.PastIncarnations = past[max(0, len(past)-maxPastIncarnations):]
}

// mergeIncarnation merges the incarnation in a peer's record. If the epochs are equal,
// the order of two different incarnations is unknown: each side keeps its own until it
// observes the target again.
func (t *target) mergeIncarnation(rec wire.TargetRecord) bool {
	if rec.Epoch <= t.record.Epoch || slices.Contains(t.record.PastIncarnations, rec.Incarnation) {
		return false
	}
	if rec.Incarnation != t.record.Incarnation {
		t.retireIncarnation()
	}
	for _, p := range rec.PastIncarnations[:min(len(rec.PastIncarnations), maxPastIncarnations)] {
		if !slices.Contains(t.record.PastIncarnations, p) && p != rec.Incarnation {
			t.record.PastIncarnations = append(t.record.PastIncarnations, p)
		}
	}
	t.record.PastIncarnations = t.record.PastIncarnations[max(0, len(t.record.PastIncarnations)-maxPastIncarnations):]
	t.record.Incarnation, t.record.Epoch = rec.Incarnation, rec.Epoch
	return true
}

// digest returns the target's contribution to the digest of its bucket. A target that
// is gone contributes the same as a forgotten one.
func (t *target) digest() uint32 {
	if t.record.Gone {
		return 0
	}
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(t.record.Target)
	_, _ = d.WriteString("\x00" + t.record.Incarnation)
	draining := byte(0)
	if t.record.Draining {
		draining = 1
	}
	_, _ = d.Write([]byte{draining, byte(t.record.Epoch), byte(t.record.Epoch >> 8)})
	return uint32(d.Sum64())
}
