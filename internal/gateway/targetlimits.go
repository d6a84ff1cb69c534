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

	mu sync.Mutex
	l  *targetlimit.Limiter
}

func newTargetLimits(now func() time.Duration, instance string) *targetLimits {
	return &targetLimits{now: now, l: targetlimit.New(now(), instance)}
}

// observe takes in what the answer of a target states to a request sent at a time; 0
// for no limit.
func (t *targetLimits) observe(sent time.Duration, id directory.Incarnation, limit float64) {
	t.mu.Lock()
	changed := t.l.Observe(t.now(), sent, id, limit)
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
	t.l.SetFleet(t.now(), names, found)
}

// take takes in what another instance reports.
func (t *targetLimits) take(limits []wire.TargetLimit) {
	if len(limits) == 0 {
		return
	}
	reports := make([]targetlimit.Report, len(limits))
	for i, l := range limits {
		reports[i] = targetlimit.Report{Target: directory.Incarnation{ID: l.Target, StartedMs: l.Born}, Rate: l.Rate, Revision: l.Revision}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.l.ApplyReports(t.now(), reports)
}

// reports are what this instance passes on.
func (t *targetLimits) reports() []wire.TargetLimit {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []wire.TargetLimit
	for _, r := range t.l.Reports() {
		out = append(out, wire.TargetLimit{Target: r.Target.ID, Born: r.Target.StartedMs, Rate: r.Rate, Revision: r.Revision})
	}
	return out
}

// limited lists the targets that state a limit, and whether this instance may send each
// of them a request now.
func (t *targetLimits) limited() map[directory.Incarnation]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.l.LimitedTargets(t.now())
}

// open says whether this instance may send a request to a target now.
func (t *targetLimits) open(id directory.Incarnation) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.l.CanSend(t.now(), id)
}

// sent takes in that a request goes to a target.
func (t *targetLimits) sent(id directory.Incarnation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.l.RecordSend(t.now(), id)
}

// keep forgets the targets that are gone.
func (t *targetLimits) keep(there func(directory.Incarnation) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.l.Retain(there)
}
