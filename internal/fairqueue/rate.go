package fairqueue

import (
	"math"
	"time"
)

// rateWindow is the time constant of the average service rate.
const rateWindow = 2 * time.Second

// rateMeter measures how many tokens per second leave the queue while it has a backlog.
// Time without a backlog says nothing about the capacity.
type rateMeter struct {
	minRate    float64
	tokens     float64
	seconds    float64
	lastServed time.Duration
}

func newRateMeter(minRate float64) rateMeter {
	s := rateWindow.Seconds()
	return rateMeter{minRate: minRate, tokens: minRate * s, seconds: s}
}

// startBacklog marks the start of a backlog.
func (m *rateMeter) startBacklog(now time.Duration) { m.lastServed = now }

// served records an item that was served during a backlog.
func (m *rateMeter) served(now time.Duration, cost float64) {
	dt := max(0, (now - m.lastServed).Seconds())
	m.lastServed = now
	decay := math.Exp(-dt / rateWindow.Seconds())
	m.tokens = m.tokens*decay + cost
	m.seconds = m.seconds*decay + dt
}

// rate returns the measured rate in tokens per second.
func (m *rateMeter) rate() float64 {
	if m.seconds <= 0 {
		return m.minRate
	}
	return max(m.minRate, m.tokens/m.seconds)
}

// wait returns the expected time until the given number of tokens has left the queue.
func (m *rateMeter) wait(tokens float64) time.Duration {
	rate := m.rate()
	if rate <= 0 {
		return 0
	}
	return secondsFor(tokens, rate)
}

// secondsFor returns the time to serve tokens at a rate.
func secondsFor(tokens, rate float64) time.Duration {
	if tokens <= 0 {
		return 0
	}
	if rate <= 0 {
		return math.MaxInt32 * time.Second
	}
	return time.Duration(min(tokens/rate, math.MaxInt32) * float64(time.Second))
}
