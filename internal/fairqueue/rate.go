package fairqueue

import (
	"math"
	"time"
)

// rateWindow is the time over which the service rate is averaged.
const rateWindow = 2 * time.Second

// rateMeter measures how many tokens a second leave the queue while there is
// a backlog; time without a backlog says nothing about the capacity.
type rateMeter struct {
	floor   float64
	tokens  float64
	seconds float64
	last    time.Duration
}

func newRateMeter(floor float64) rateMeter {
	s := rateWindow.Seconds()
	return rateMeter{floor: floor, tokens: floor * s, seconds: s}
}

// resume marks the start of a backlog.
func (m *rateMeter) resume(now time.Duration) { m.last = now }

// served records a Pop during a backlog.
func (m *rateMeter) served(now time.Duration, cost float64) {
	dt := max(0, (now - m.last).Seconds())
	m.last = now
	decay := math.Exp(-dt / rateWindow.Seconds())
	m.tokens = m.tokens*decay + cost
	m.seconds = m.seconds*decay + dt
}

// wait is the expected time until so many tokens have left.
func (m *rateMeter) wait(tokens float64) time.Duration {
	rate := m.floor
	if m.seconds > 0 {
		rate = max(rate, m.tokens/m.seconds)
	}
	if rate <= 0 {
		return 0
	}
	return time.Duration(min(tokens/rate, math.MaxInt32) * float64(time.Second))
}
