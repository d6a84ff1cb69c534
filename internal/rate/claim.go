package rate

import (
	"time"

	"github.com/mastictray/mastictray/internal/wire"
)

// claimFor is how long an ask that could not be met keeps its precedence; the
// asker repeats it sooner.
const claimFor = 50 * time.Millisecond

// claim is the longest waiting request elsewhere that this instance could not
// give all it needs. While it asks again and again, younger ones are given
// nothing: else a late small request would take what the early large one lacks,
// and the large one would be refused although it came first.
type claim struct {
	from  string
	since time.Duration // when the request began to wait, by this clock
	until time.Duration
}

// note remembers an ask that was not met in full.
func (c *claim) note(now time.Duration, from string, ask wire.RateItem, given float64) {
	since := waitingSince(now, ask)
	switch {
	case ask.WaitedMicros <= 0 || c.bars(now, from, ask):
	case ask.Tokens-given >= minTransfer:
		*c = claim{from: from, since: since, until: now + claimFor}
	case c.from == from:
		*c = claim{}
	}
}

// bars reports that another instance's request has waited longer.
func (c *claim) bars(now time.Duration, from string, ask wire.RateItem) bool {
	return now < c.until && c.from != from && c.since < waitingSince(now, ask)
}

func waitingSince(now time.Duration, ask wire.RateItem) time.Duration {
	return now - time.Duration(ask.WaitedMicros)*time.Microsecond
}
