// Package partguard shares one crashparts.Tracker between the requests of a process, and logs its
// decisions.
package partguard

import (
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mastictray/mastictray/internal/crashparts"
	"github.com/mastictray/mastictray/internal/logline"
)

// Guard is safe for concurrent use.
type Guard struct {
	mu      sync.Mutex
	tracker *crashparts.Tracker
}

// New returns a Guard without any evidence.
func New() *Guard { return &Guard{tracker: crashparts.New()} }

// Update calls change with the tracker and logs the blocks that begin or end with it.
func (g *Guard) Update(change func(*crashparts.Tracker)) {
	g.mu.Lock()
	change(g.tracker)
	changes := g.tracker.TakeChanges()
	g.mu.Unlock()
	for _, c := range changes {
		event := "part_released"
		if c.Blocked {
			event = "part_blocked"
		}
		logline.Info(event, "part", partText(c.Part), "crashes", c.Crashes, "lost", c.Lost)
	}
}

// Lost records that a request was lost with its target.
func (g *Guard) Lost(now time.Duration, target string, answer *crashparts.Answer, parts []crashparts.Part) {
	if len(parts) == 0 || answer.IsSound() {
		return
	}
	g.Update(func(t *crashparts.Tracker) { t.Lost(now, crashparts.Target(xxhash.Sum64String(target)), parts) })
}

// Answered records a sound answer to a prompt with these parts.
func (g *Guard) Answered(answer *crashparts.Answer, parts []crashparts.Part) {
	if len(parts) > 0 {
		g.Update(func(t *crashparts.Tracker) { t.Answered(parts, answer.BegunAt()) })
	}
}

// Check decides whether the request with the ID, whose prompt has these parts, may be sent to a
// target; see crashparts.Tracker.Check.
func (g *Guard) Check(now time.Duration, request string, parts []crashparts.Part, mayProbe func() bool) (v crashparts.Verdict) {
	if len(parts) == 0 {
		return v
	}
	g.Update(func(t *crashparts.Tracker) { v = t.Check(now, parts, mayProbe) })
	switch {
	case v.Blocked:
		logline.InfoSampled("part_refused", "request", request, "part", partText(v.Part))
	case v.Probe:
		logline.Info("part_probed", "request", request, "part", partText(v.Part))
	}
	return v
}

func partText(p crashparts.Part) string { return strconv.FormatUint(uint64(p), 16) }
