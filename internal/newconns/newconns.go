// Package newconns decides whether an instance takes a new connection from the load balancer.
//
// The balancer may hand most new connections of a failure domain to one instance. An instance that
// reads more requests than its processor can handle answers all of them late, while its peers are
// idle. It therefore closes the connections that are too many before it reads from them, so that
// their callers come to other instances with the next one, and reports that it isn't ready.
//
// In an overload of the whole fleet this would only make callers connect again and again. So it
// applies only to an instance that gets far more new connections than its peers.
//
// The package does no I/O and does not read the clock.
package newconns

import (
	"math"
	"math/bits"
	"slices"
	"time"
)

const (
	// minRate is the lowest rate of new connections per second that is published, and counts for
	// peers with less.
	minRate = 16
	// surgeFactor is the multiple of the median rate of the peers from which an instance gets
	// far more than these.
	surgeFactor = 4
	// overloadLag is how late timers fire on an overloaded processor, relaxedLag the lag below
	// which there is room for more.
	overloadLag = 50 * time.Millisecond
	relaxedLag  = 15 * time.Millisecond
	// A limit is set to startFraction of the present rate, and changes by these factors with each
	// tick. It is not below minLimit connections per second.
	startFraction = 0.5
	decrease      = 0.7
	increase      = 1.1
	minLimit      = 4.0
	// burstTime is the time for which connections that were not taken can be made up for.
	burstTime = 250 * time.Millisecond
	// rateWindow is the time constant of the measured rate.
	rateWindow = time.Second
)

// Gate decides for one instance. It is not safe for concurrent use.
type Gate struct {
	arrived  int // since the last tick
	tickedAt time.Duration
	rate     float64
	// limit is the number of connections taken per second while limited is set, tokens how many
	// may be taken now.
	limited  bool
	limit    float64
	tokens   float64
	filledAt time.Duration
}

// Accept counts a new connection and reports whether to take it.
func (g *Gate) Accept(now time.Duration) bool {
	g.arrived++
	if !g.limited {
		return true
	}
	g.tokens = min(g.tokens+g.limit*(now-g.filledAt).Seconds(), max(1, g.limit*burstTime.Seconds()))
	g.filledAt = now
	if g.tokens < 1 {
		return false
	}
	g.tokens--
	return true
}

// Limited reports whether the instance refuses some of its new connections.
func (g *Gate) Limited() bool { return g.limited }

// Limit returns the number of connections taken per second while Limited.
func (g *Gate) Limit() float64 { return g.limit }

// Rate returns the rate of new connections per second, rounded down to a power of two so that it
// seldom changes; 0 below minRate.
func (g *Gate) Rate() int {
	rate := uint(g.rate)
	if rate < minRate {
		return 0
	}
	return 1 << (bits.Len(rate) - 1)
}

// Tick updates the decision. lag is how late a timer has just fired, peerRates are the rates of the
// reporting peers of the same failure domain.
func (g *Gate) Tick(now, lag time.Duration, peerRates []int) {
	elapsed := now - g.tickedAt
	if elapsed <= 0 {
		return
	}
	weight := 1 - math.Exp(-elapsed.Seconds()/rateWindow.Seconds())
	g.rate += weight * (float64(g.arrived)/elapsed.Seconds() - g.rate)
	g.arrived, g.tickedAt = 0, now
	surge := len(peerRates) > 0 && g.rate >= surgeFactor*max(minRate, median(peerRates))
	switch {
	case !surge:
		g.limited = false
	case !g.limited && lag >= overloadLag:
		g.limited, g.limit, g.tokens, g.filledAt = true, max(minLimit, startFraction*g.rate), 0, now
	case g.limited && lag >= overloadLag:
		g.limit = max(minLimit, decrease*g.limit)
	case g.limited && lag <= relaxedLag:
		g.limit *= increase
	}
}

func median(rates []int) float64 {
	sorted := slices.Sorted(slices.Values(rates))
	return float64(sorted[len(sorted)/2])
}
