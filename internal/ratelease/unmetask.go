package ratelease

import (
	"time"

	"github.com/mastictray/mastictray/internal/wire"
)

// unmetAskTTL is how long an ask that was not granted in full keeps its
// priority. The asker repeats it sooner than that.
const unmetAskTTL = 50 * time.Millisecond

// unmetAsk is the longest waiting request of a peer that this instance could not
// grant all that it needs. As long as the peer repeats its ask, requests that
// have waited less get nothing. Otherwise a small late request would take the
// tokens that a large early one still lacks, and the large one would be refused
// although it came first.
type unmetAsk struct {
	from  string
	since time.Duration // when the request began to wait, by this instance's clock
	until time.Duration
}

// record remembers an ask that was not granted in full, and forgets it once it
// was.
func (u *unmetAsk) record(now time.Duration, from string, ask wire.RateItem, granted float64) {
	since := waitingSince(now, ask)
	switch {
	case ask.WaitedMicros <= 0 || u.blocks(now, from, ask):
	case ask.Tokens-granted >= minTransferTokens:
		*u = unmetAsk{from: from, since: since, until: now + unmetAskTTL}
	case u.from == from:
		*u = unmetAsk{}
	}
}

// blocks reports whether a request of another instance has waited longer.
func (u *unmetAsk) blocks(now time.Duration, from string, ask wire.RateItem) bool {
	return now < u.until && u.from != from && u.since < waitingSince(now, ask)
}

func waitingSince(now time.Duration, ask wire.RateItem) time.Duration {
	return now - time.Duration(ask.WaitedMicros)*time.Microsecond
}
