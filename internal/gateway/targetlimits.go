package gateway

import (
	"slices"
	"sync"
	"time"

	"github.com/mastictray/mastictray/internal/directory"
	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/targetlimit"
	"github.com/mastictray/mastictray/internal/wire"
)

// targetLimits are the requests a second that targets take from all instances
// together, as their answers state them. Its lock is locked after all others.
type targetLimits struct {
	now func() time.Duration

	mu      sync.Mutex
	limiter *targetlimit.Limiter
}

func newTargetLimits(now func() time.Duration, instance string) *targetLimits {
	return &targetLimits{now: now, limiter: targetlimit.New(now(), instance)}
}

// observe takes in what the answer of a target states to a request sent at a time; 0
// for no limit.
func (t *targetLimits) observe(sent time.Duration, id directory.Incarnation, limit float64) {
	t.mu.Lock()
	changed := t.limiter.Observe(t.now(), sent, id, limit)
	t.mu.Unlock()
	if changed {
		logline.Info("target_limit", "target", id.ID, "born", id.StartedMs, "limit", limit)
	}
}

// setFleet takes all instances that may be serving.
func (t *targetLimits) setFleet(names []string, found bool) {
	slices.Sort(names)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limiter.SetFleet(t.now(), names, found)
}

// applyReports takes in what another instance reports.
func (t *targetLimits) applyReports(limits []wire.TargetLimit) {
	if len(limits) == 0 {
		return
	}
	reports := make([]targetlimit.Report, len(limits))
	for i, l := range limits {
		reports[i] = targetlimit.Report{Target: directory.Incarnation{ID: l.Target, StartedMs: l.Born}, Rate: l.Rate, Revision: l.Revision}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limiter.ApplyReports(t.now(), reports)
}

// reports are what this instance passes on.
func (t *targetLimits) reports() []wire.TargetLimit {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []wire.TargetLimit
	for _, r := range t.limiter.Reports() {
		out = append(out, wire.TargetLimit{Target: r.Target.ID, Born: r.Target.StartedMs, Rate: r.Rate, Revision: r.Revision})
	}
	return out
}

// limitedTargets lists the targets that state a limit, and whether this instance may send each
// of them a request now.
func (t *targetLimits) limitedTargets() map[directory.Incarnation]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.limiter.LimitedTargets(t.now())
}

// canSend says whether this instance may send a request to a target now.
func (t *targetLimits) canSend(id directory.Incarnation) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.limiter.CanSend(t.now(), id)
}

// recordSend takes in that a request goes to a target.
func (t *targetLimits) recordSend(id directory.Incarnation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limiter.RecordSend(t.now(), id)
}

// retain forgets the targets that are gone.
func (t *targetLimits) retain(there func(directory.Incarnation) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limiter.Retain(there)
}
