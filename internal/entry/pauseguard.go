package entry

import (
	"context"
	"sync"
	"time"

	"github.com/mastictray/mastictray/internal/logline"
)

const (
	pauseCheckInterval = 50 * time.Millisecond
	// pauseThreshold is the time between two checks above which the process
	// counts as having been paused. It is far above scheduling delays and below
	// the time within which a withdrawn key must stop working.
	pauseThreshold = time.Second
	// pauseRefreshTimeout bounds how long requests wait for current data after a
	// pause. If neither the log nor a peer answers in time, the instance is
	// partitioned, and the accounts' key-cutoff determines whether a key is
	// accepted.
	pauseRefreshTimeout = time.Second
)

// pauseGuard detects that the process was paused. During a pause the process misses
// withdrawals of keys and changes of the configuration, and without the guard the
// first requests afterwards would be served with outdated data. Requests wait until
// the log or a peer has answered a query that was sent after the pause.
type pauseGuard struct {
	now func() time.Duration
	// refresh queries the log and the peers. handleAnswer is called with each
	// answer.
	refresh func()

	mu        sync.Mutex
	lastTick  time.Duration
	resumedAt time.Duration
	// refreshed is closed when current data has arrived. It is nil unless requests
	// have to wait.
	refreshed chan struct{}
}

func newPauseGuard(now func() time.Duration, refresh func()) *pauseGuard {
	return &pauseGuard{now: now, refresh: refresh, lastTick: now()}
}

// run checks for pauses periodically until ctx ends.
func (g *pauseGuard) run(ctx context.Context) {
	for ctx.Err() == nil {
		g.detectPause()
		sleep(ctx, pauseCheckInterval)
	}
}

// detectPause checks whether the process was paused since the previous call and, if
// so, starts a refresh.
func (g *pauseGuard) detectPause() {
	g.mu.Lock()
	now := g.now()
	gap := now - g.lastTick
	g.lastTick = now
	if gap <= pauseThreshold {
		g.mu.Unlock()
		return
	}
	g.resumedAt = now
	if g.refreshed == nil {
		g.refreshed = make(chan struct{})
	}
	g.mu.Unlock()
	logline.Info("paused", "for", gap)
	g.refresh()
}

// handleAnswer records an answer to a query that was sent at requestedAt. If that was
// after the pause, the waiting requests proceed.
func (g *pauseGuard) handleAnswer(requestedAt time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.refreshed != nil && requestedAt >= g.resumedAt {
		close(g.refreshed)
		g.refreshed = nil
	}
}

// waitUntilFresh returns when the process has current data, at once if it was not
// paused and otherwise after pauseRefreshTimeout at the latest. Every request calls
// it, so that whichever goroutine runs first after a pause detects it.
func (g *pauseGuard) waitUntilFresh(ctx context.Context) {
	g.detectPause()
	g.mu.Lock()
	refreshed := g.refreshed
	g.mu.Unlock()
	if refreshed == nil {
		return
	}
	t := time.NewTimer(pauseRefreshTimeout)
	defer t.Stop()
	select {
	case <-refreshed:
	case <-t.C:
		g.stopWaiting(refreshed)
	case <-ctx.Done():
	}
}

// stopWaiting lets requests proceed without current data.
func (g *pauseGuard) stopWaiting(refreshed chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.refreshed == refreshed {
		g.refreshed = nil
		logline.Info("paused_without_news")
	}
}
