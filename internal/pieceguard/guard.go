// Package pieceguard shares one crashpieces.Tracker between the requests of a process, and logs its
// decisions.
package pieceguard

import (
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mastictray/mastictray/internal/crashpieces"
	"github.com/mastictray/mastictray/internal/logline"
)

// Guard is safe for concurrent use.
type Guard struct {
	mu      sync.Mutex
	tracker *crashpieces.Tracker
}

// New returns a Guard without any evidence.
func New() *Guard { return &Guard{tracker: crashpieces.New()} }

// Update calls change with the tracker and logs the blocks that begin or end with it.
func (g *Guard) Update(change func(*crashpieces.Tracker)) {
	g.mu.Lock()
	change(g.tracker)
	changes := g.tracker.TakeChanges()
	g.mu.Unlock()
	for _, c := range changes {
		event := "piece_released"
		if c.Blocked {
			event = "piece_blocked"
		}
		logline.Info(event, "piece", pieceText(c.Piece), "crashes", c.Crashes, "lost", c.Lost)
	}
}

// Lost records that a request was lost with its target.
func (g *Guard) Lost(now time.Duration, target string, answer *crashpieces.Answer, pieces []crashpieces.Piece) {
	if len(pieces) == 0 || answer.IsHealthy() {
		return
	}
	g.Update(func(t *crashpieces.Tracker) { t.Lost(now, crashpieces.Target(xxhash.Sum64String(target)), pieces) })
}

// Answered records a healthy answer to a prompt with these pieces.
func (g *Guard) Answered(answer *crashpieces.Answer, pieces []crashpieces.Piece) {
	if len(pieces) > 0 {
		g.Update(func(t *crashpieces.Tracker) { t.Answered(pieces, answer.BegunAt()) })
	}
}

// Check decides whether the request with the ID, whose prompt has these pieces, may be sent to a
// target; see crashpieces.Tracker.Check.
func (g *Guard) Check(now time.Duration, request string, pieces []crashpieces.Piece, mayProbe func() bool) (v crashpieces.Verdict) {
	if len(pieces) == 0 {
		return v
	}
	g.Update(func(t *crashpieces.Tracker) { v = t.Check(now, pieces, mayProbe) })
	switch {
	case v.Blocked:
		logline.InfoSampled("piece_refused", "request", request, "piece", pieceText(v.Piece))
	case v.Probe:
		logline.Info("piece_probed", "request", request, "piece", pieceText(v.Piece))
	}
	return v
}

func pieceText(p crashpieces.Piece) string { return strconv.FormatUint(uint64(p), 16) }
