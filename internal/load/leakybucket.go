package load

import "time"

// leakyBucket measures a flow of tokens against a rate. Its level is the maximum,
// over all windows that end now, of the tokens in the window minus rate times its
// length. The flow conforms to rate and burst while the level is at most the burst.
type leakyBucket struct {
	rate  float64
	level float64
	last  time.Duration
}

// levelAt returns the level at a time, which must not decrease between calls.
func (m *leakyBucket) levelAt(now time.Duration) float64 {
	m.level = max(0, m.level-m.rate*(now-m.last).Seconds())
	m.last = now
	return m.level
}

// add adds tokens and returns the new level.
func (m *leakyBucket) add(now time.Duration, tokens float64) float64 {
	m.level = m.levelAt(now) + tokens
	return m.level
}
