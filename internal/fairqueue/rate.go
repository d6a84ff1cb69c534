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
	tokens  float64
	seconds float64
	last    time.Duration
}

func newRateMeter(initial float64) rateMeter {
	s := rateWindow.Seconds()
	return rateMeter{tokens: initial * s, seconds: s}
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

// wait is the expected time until so many tokens have left. The time since
// the last Pop counts, so that a stalled pool is noticed before its next Pop.
func (m *rateMeter) wait(now time.Duration, tokens float64) time.Duration {
	if m.tokens <= 0 {
		return 0
	}
	stalled := max(0, (now - m.last).Seconds())
	s := tokens * (m.seconds + stalled) / m.tokens
	return time.Duration(min(s, math.MaxInt32) * float64(time.Second))
}
