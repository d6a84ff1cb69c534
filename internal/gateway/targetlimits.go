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

// targetLimits shares a targetlimit.Limiter between goroutines. It holds the requests per
// second that targets accept from all instances together, as their responses state them.
// Its lock is acquired after all others.
type targetLimits struct {
	now func() time.Duration

	mu      sync.Mutex
	limiter *targetlimit.Limiter
}

func newTargetLimits(now func() time.Duration, instance string) *targetLimits {
	return &targetLimits{now: now, limiter: targetlimit.New(now(), instance)}
}

// observe records the limit that a target stated in the response to a request sent at the
// given time; 0 for no limit.
func (t *targetLimits) observe(sent time.Duration, id directory.Incarnation, limit float64) {
	t.mu.Lock()
	changed := t.limiter.Observe(t.now(), sent, id, limit)
	t.mu.Unlock()
	if changed {
		logline.Info("target_limit", "target", id.ID, "born", id.StartedMs, "limit", limit)
	}
}

// setFleet sets all instances that may be serving. discovered is set once the fleet has
// been looked up.
func (t *targetLimits) setFleet(names []string, discovered bool) {
	slices.Sort(names)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limiter.SetFleet(t.now(), names, discovered)
}

// applyReports merges the limits that another instance reports.
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

// reports returns the limits that this instance passes on to others.
func (t *targetLimits) reports() []wire.TargetLimit {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []wire.TargetLimit
	for _, r := range t.limiter.Reports() {
		out = append(out, wire.TargetLimit{Target: r.Target.ID, Born: r.Target.StartedMs, Rate: r.Rate, Revision: r.Revision})
	}
	return out
}

// limitedTargets returns the targets that state a limit and, for each, whether this
// instance may send it a request now.
func (t *targetLimits) limitedTargets() map[directory.Incarnation]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.limiter.LimitedTargets(t.now())
}

// canSend reports whether this instance may send a request to a target now.
func (t *targetLimits) canSend(id directory.Incarnation) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.limiter.CanSend(t.now(), id)
}

// recordSend records that a request is being sent to a target.
func (t *targetLimits) recordSend(id directory.Incarnation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limiter.RecordSend(t.now(), id)
}

// retain drops the targets for which exists returns false.
func (t *targetLimits) retain(exists func(directory.Incarnation) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limiter.Retain(exists)
}
