package entry

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A process is paused for five seconds in which a key was withdrawn. The first
// request after the pause must wait: an answer to a question from before the
// pause does not let it through, one asked after the pause does. Otherwise the
// caller of the withdrawn key is served.
func TestRequestsWaitForNewsAfterPause(t *testing.T) {
	is := is.New(t)
	now := time.Duration(0)
	refreshes := 0
	g := newPauseGuard(func() time.Duration { return now }, func() { refreshes++ })
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // wait returns at once; what it left behind is looked at

	g.waitUntilFresh(ctx)
	is.True(g.refreshed == nil) // no pause, no wait

	now = 5 * time.Second
	g.waitUntilFresh(ctx)
	is.True(g.refreshed != nil)
	is.Equal(refreshes, 1)

	g.handleAnswer(4 * time.Second)
	is.True(g.refreshed != nil) // the question is older than the pause

	g.handleAnswer(5 * time.Second)
	is.True(g.refreshed == nil)
}
