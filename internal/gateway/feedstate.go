package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/mastictray/mastictray/internal/feedturn"
	"github.com/mastictray/mastictray/internal/logline"
)

// feedReachability records which feeds of the store this instance can't reach. It is
// reported to peers so that they don't rely on this instance to read the feed.
type feedReachability struct {
	mu                                             sync.Mutex
	operatorsUnreachable, registrationsUnreachable bool
	// refusedAt is the time of the last answer of the store that was an error, or never; it
	// may also have been a refused or reset connection.
	refusedAt time.Duration
}

// refusedSince reports whether the store has answered with an error since then.
func (s *feedReachability) refusedSince(since time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refusedAt != never && s.refusedAt > since
}

// anyUnreachable reports whether at least one feed is unreachable.
func (s *feedReachability) anyUnreachable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.operatorsUnreachable || s.registrationsUnreachable
}

// awaitRead waits until the feed has to be read. It returns false if ctx ends first.
func (g *Gateway) awaitRead(ctx context.Context, scheduler *feedturn.Scheduler, view func() feedturn.View) bool {
	for ctx.Err() == nil {
		read, wait := scheduler.Next(g.clock.Now(), view())
		if read {
			return true
		}
		sleep(ctx, wait)
	}
	return false
}

// recordRead records the result of a read. It logs when the feed becomes unreachable
// and when it is reachable again.
func (g *Gateway) recordRead(ctx context.Context, scheduler *feedturn.Scheduler, unreachable *bool, feed string, err error) {
	if ctx.Err() != nil {
		return
	}
	failedBefore := scheduler.LastReadFailed()
	if err != nil {
		scheduler.ReadFailed(g.clock.Now(), g.peers.fleetSize(), g.newRand())
	} else {
		scheduler.ReadSucceeded(g.clock.Now())
	}
	switch {
	case err != nil && !failedBefore:
		logline.Error(err, "store_lost", "feed", feed)
	case err == nil && failedBefore:
		logline.Info("store_regained", "feed", feed)
	}
	g.feeds.mu.Lock()
	*unreachable = scheduler.LastReadFailed()
	if err != nil && !isTimeout(err) {
		g.feeds.refusedAt = g.clock.Now()
	}
	g.feeds.mu.Unlock()
}

// never is the time of an event that has not happened.
const never = -time.Hour
