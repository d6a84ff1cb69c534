package entry

import (
	"context"
	"sync"
	"time"

	"github.com/mastictray/mastictray/internal/logline"
)

const (
	thawTick = 50 * time.Millisecond
	// thawGap is the silence of the ticker after which the process counts as
	// having been paused. It is far above a scheduling delay and below the
	// time within which a withdrawn key must stop working.
	thawGap = time.Second
	// thawWait bounds how long requests wait for news after a pause. When
	// neither the log nor a peer answers by then, the instance is cut off and
	// the accounts' key-cutoff decides.
	thawWait = time.Second
)

// thawGuard notices that the process was paused. A paused process misses
// withdrawals of keys and changes of configuration; without the guard its
// first requests after the pause would run on what it knew before. Requests
// wait until an answer to a question asked after the pause has come.
type thawGuard struct {
	now func() time.Duration
	// refresh asks for news; each answer ends in confirmed.
	refresh func()

	mu        sync.Mutex
	lastTick  time.Duration
	staleFrom time.Duration
	news      chan struct{} // closed by the confirmation; nil while fresh
}

func newThawGuard(now func() time.Duration, refresh func()) *thawGuard {
	return &thawGuard{now: now, refresh: refresh, lastTick: now()}
}

// run ticks until ctx ends.
func (g *thawGuard) run(ctx context.Context) {
	for ctx.Err() == nil {
		g.tick()
		sleep(ctx, thawTick)
	}
}

// tick notes that the process runs and finds out whether it was paused.
func (g *thawGuard) tick() {
	g.mu.Lock()
	now := g.now()
	paused := now - g.lastTick
	g.lastTick = now
	if paused <= thawGap {
		g.mu.Unlock()
		return
	}
	g.staleFrom = now
	if g.news == nil {
		g.news = make(chan struct{})
	}
	g.mu.Unlock()
	logline.Info("paused", "for", paused)
	g.refresh()
}

// confirmed takes in that an answer came to a question asked at that time.
func (g *thawGuard) confirmed(asked time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.news != nil && asked >= g.staleFrom {
		close(g.news)
		g.news = nil
	}
}

// wait returns when the process is up to date, or has waited long enough.
// Every request calls it, so a pause is noticed by whichever goroutine runs
// first after it.
func (g *thawGuard) wait(ctx context.Context) {
	g.tick()
	g.mu.Lock()
	news := g.news
	g.mu.Unlock()
	if news == nil {
		return
	}
	t := time.NewTimer(thawWait)
	defer t.Stop()
	select {
	case <-news:
	case <-t.C:
		g.giveUp(news)
	case <-ctx.Done():
	}
}

// giveUp lets requests through that would otherwise wait for nobody.
func (g *thawGuard) giveUp(news chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.news == news {
		g.news = nil
		logline.Info("paused_without_news")
	}
}
