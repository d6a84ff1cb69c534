package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/routing"
)

// A target drops connections after 300 ms of idleness without notice. A booking sent on one
// is reset: it is unknown whether it ran, so it cannot be retried and its caller gets an
// error. Repeatable requests may use such a connection, because they are retried at another
// target.
func TestNonIdempotentRequestsAvoidIdleConnections(t *testing.T) {
	is := is.New(t)
	const serverIdleTimeout = 300 * time.Millisecond
	g := &Gateway{}
	is.True(g.maxConnIdle(&call{route: &routing.Route{Kind: routing.NonIdempotent}}) < serverIdleTimeout)
	is.True(g.maxConnIdle(&call{route: &routing.Route{Kind: routing.Idempotent}}) > serverIdleTimeout)
}
