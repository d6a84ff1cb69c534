// Package silentconn decides when an open connection counts as silent: it carries nothing
// any more, without a reset, although a new connection to the same peer may work.
//
// A call on such a connection would otherwise wait out its whole timeout, and so would the
// next call on the next such connection. The timeouts of a few calls in a row exceed the
// time within which an instance must learn of a new configuration.
//
// The package does no I/O and does not read the clock.
package silentconn

import "time"

const (
	// MinTimeout is the shortest time without data after which a connection counts as
	// silent while a call waits on it.
	MinTimeout = 300 * time.Millisecond
	// MaxTimeout is the longest such time. It leaves a call on a new connection time to end
	// within the shortest timeout of calls to peers.
	MaxTimeout = 500 * time.Millisecond
	// latencyFactor sets the time in multiples of the recent latency, so that connections to
	// a slow peer are not replaced over and over.
	latencyFactor = 2
	// latencyDecay is the fraction of the recent latency that a faster response takes away.
	latencyDecay = 0.125
)

// Latency is the recent time until the first data of a response arrives.
type Latency struct{ recent time.Duration }

// Observe adds the latency of a response.
func (l *Latency) Observe(d time.Duration) {
	l.recent -= time.Duration(latencyDecay * float64(l.recent))
	l.recent = max(l.recent, d)
}

// Timeout returns the time without data after which a connection counts as silent.
func (l *Latency) Timeout() time.Duration {
	return min(max(latencyFactor*l.recent, MinTimeout), MaxTimeout)
}

// Check reports whether a connection is silent on which a call has waited since a given time
// and data last arrived at lastRead. If it is not, recheckAfter is the time after which it may
// be.
func Check(now, since, lastRead time.Time, timeout time.Duration) (silent bool, recheckAfter time.Duration) {
	quietSince := since
	if lastRead.After(since) {
		quietSince = lastRead
	}
	left := timeout - now.Sub(quietSince)
	return left <= 0, max(left, 0)
}
