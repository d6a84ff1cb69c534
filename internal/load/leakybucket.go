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
func (b *leakyBucket) levelAt(now time.Duration) float64 {
	b.level = max(0, b.level-b.rate*(now-b.last).Seconds())
	b.last = now
	return b.level
}

// add adds tokens and returns the new level.
func (b *leakyBucket) add(now time.Duration, tokens float64) float64 {
	b.level = b.levelAt(now) + tokens
	return b.level
}
