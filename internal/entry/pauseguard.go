package entry

import (
	"context"
	"sync"
	"time"

	"github.com/mastictray/mastictray/internal/logline"
)

const (
	pauseCheckInterval = 50 * time.Millisecond
	// thawGap is the silence of the ticker after which the process counts as
	// having been paused. It is far above a scheduling delay and below the
	// time within which a withdrawn key must stop working.
	pauseThreshold = time.Second
	// thawWait bounds how long requests wait for news after a pause. When
	// neither the log nor a peer answers by then, the instance is cut off and
	// the accounts' key-cutoff decides.
	pauseRefreshTimeout = time.Second
)

// thawGuard notices that the process was paused. A paused process misses
// withdrawals of keys and changes of configuration; without the guard its
// first requests after the pause would run on what it knew before. Requests
// wait until an answer to a question asked after the pause has come.
type pauseGuard struct {
	now func() time.Duration
	// refresh asks for news; each answer ends in confirmed.
	refresh func()

	mu        sync.Mutex
	lastTick  time.Duration
	resumedAt time.Duration
	refreshed chan struct{} // closed by the confirmation; nil while fresh
}

func newPauseGuard(now func() time.Duration, refresh func()) *pauseGuard {
	return &pauseGuard{now: now, refresh: refresh, lastTick: now()}
}

// run ticks until ctx ends.
func (g *pauseGuard) run(ctx context.Context) {
	for ctx.Err() == nil {
		g.detectPause()
		sleep(ctx, pauseCheckInterval)
	}
}

// tick notes that the process runs and finds out whether it was paused.
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

// confirmed takes in that an answer came to a question asked at that time.
func (g *pauseGuard) handleAnswer(requestedAt time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.refreshed != nil && requestedAt >= g.resumedAt {
		close(g.refreshed)
		g.refreshed = nil
	}
}

// wait returns when the process is up to date, or has waited long enough.
// Every request calls it, so a pause is noticed by whichever goroutine runs
// first after it.
func (g *pauseGuard) waitUntilFresh(ctx context.Context) {
	g.detectPause()
	g.mu.Lock()
	news := g.refreshed
	g.mu.Unlock()
	if news == nil {
		return
	}
	t := time.NewTimer(pauseRefreshTimeout)
	defer t.Stop()
	select {
	case <-news:
	case <-t.C:
		g.stopWaiting(news)
	case <-ctx.Done():
	}
}

// giveUp lets requests through that would otherwise wait for nobody.
func (g *pauseGuard) stopWaiting(news chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.refreshed == news {
		g.refreshed = nil
		logline.Info("paused_without_news")
	}
}
