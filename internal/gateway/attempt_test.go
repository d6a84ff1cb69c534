package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/routing"
)

// A target forgets connections that rested for 300 ms and tells nobody. A
// booking sent on such a one is reset: whether it ran stays open, so nobody may
// send it again, and the caller gets a failure. A request that may be repeated
// takes the kept connection and is sent again elsewhere.
func TestBookingsTakeFreshConnections(t *testing.T) {
	is := is.New(t)
	const forgotten = 300 * time.Millisecond
	g := &Gateway{}
	is.True(g.maxConnIdle(&call{route: &routing.Route{Kind: routing.NonIdempotent}}) < forgotten)
	is.True(g.maxConnIdle(&call{route: &routing.Route{Kind: routing.Idempotent}}) > forgotten)
}
