package entry

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A key is withdrawn while the process is paused for five seconds. The first
// request afterwards must wait until a query that was sent after the pause is
// answered; an answer to an earlier query is not enough. Otherwise a request with
// the withdrawn key would be served.
func TestRequestsWaitForNewsAfterPause(t *testing.T) {
	is := is.New(t)
	now := time.Duration(0)
	refreshes := 0
	g := newPauseGuard(func() time.Duration { return now }, func() { refreshes++ })
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // waitUntilFresh returns at once; the test checks the state it leaves

	g.waitUntilFresh(ctx)
	is.True(g.refreshed == nil) // not paused

	now = 5 * time.Second
	g.waitUntilFresh(ctx)
	is.True(g.refreshed != nil)
	is.Equal(refreshes, 1)

	g.handleAnswer(4 * time.Second)
	is.True(g.refreshed != nil) // the query was sent before the pause ended

	g.handleAnswer(5 * time.Second)
	is.True(g.refreshed == nil)
}
