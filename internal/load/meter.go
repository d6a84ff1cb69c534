package load

import "time"

// meter measures a token flow against a rate and a burst. Its level is the
// most by which any trailing window went over rate times its length, so the
// flow is within bounds as long as the level is at most the burst.
type meter struct {
	rate  float64
	level float64
	last  time.Duration
}

// at returns the level at a time, which must not go back.
func (m *meter) at(now time.Duration) float64 {
	m.level = max(0, m.level-m.rate*(now-m.last).Seconds())
	m.last = now
	return m.level
}

// add counts tokens and returns the level with them.
func (m *meter) add(now time.Duration, tokens float64) float64 {
	m.level = m.at(now) + tokens
	return m.level
}
