package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/mastictray/mastictray/internal/feedturn"
	"github.com/mastictray/mastictray/internal/logline"
)

// feedStates say which feeds of the store this instance does not reach. Peers
// get a report, so that they do not wait for its updates.
type feedReachability struct {
	mu                                             sync.Mutex
	operatorsUnreachable, registrationsUnreachable bool
}

// cut says that some feed is not reached.
func (s *feedReachability) anyUnreachable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.operatorsUnreachable || s.registrationsUnreachable
}

// awaitTurn waits until the feed is to be read; false when ctx ended.
func (g *Gateway) awaitRead(ctx context.Context, turn *feedturn.Scheduler, view func() feedturn.View) bool {
	for ctx.Err() == nil {
		read, wait := turn.Next(g.clock.Now(), view())
		if read {
			return true
		}
		sleep(ctx, wait)
	}
	return false
}

// tookTurn takes in how a read ended. The log gets a line when the feed is lost
// or regained.
func (g *Gateway) recordRead(ctx context.Context, turn *feedturn.Scheduler, lost *bool, feed string, err error) {
	if ctx.Err() != nil {
		return
	}
	was := turn.LastReadFailed()
	if err != nil {
		turn.ReadFailed(g.clock.Now(), g.peers.fleetSize(), g.newRand())
	} else {
		turn.ReadSucceeded(g.clock.Now())
	}
	switch {
	case err != nil && !was:
		logline.Error(err, "store_lost", "feed", feed)
	case err == nil && was:
		logline.Info("store_regained", "feed", feed)
	}
	g.feeds.mu.Lock()
	*lost = turn.LastReadFailed()
	g.feeds.mu.Unlock()
}

// never is the time of what has not happened yet.
const never = -time.Hour
