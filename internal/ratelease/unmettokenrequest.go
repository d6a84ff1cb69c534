package ratelease

import (
	"time"

	"github.com/mastictray/mastictray/internal/wire"
)

// unmetTokenRequestTTL is how long a token request that was not granted in full
// keeps its priority. The peer repeats it sooner than that.
const unmetTokenRequestTTL = 50 * time.Millisecond

// unmetTokenRequest is the longest waiting request of a peer that this instance
// could not grant all that it needs. As long as the peer repeats its token
// request, requests that have waited less get nothing. Otherwise a small late
// request would take the tokens that a large early one still lacks, and the large
// one would be refused although it came first.
type unmetTokenRequest struct {
	from  string
	since time.Duration // when the request began to wait, by this instance's clock
	until time.Duration
}

// record stores a token request that was not granted in full, and clears it once
// it was.
func (u *unmetTokenRequest) record(now time.Duration, from string, item wire.RateItem, granted float64) {
	since := waitingSince(now, item)
	switch {
	case item.WaitedMicros <= 0 || u.blocks(now, from, item):
	case item.Tokens-granted >= minTransferTokens:
		*u = unmetTokenRequest{from: from, since: since, until: now + unmetTokenRequestTTL}
	case u.from == from:
		*u = unmetTokenRequest{}
	}
}

// blocks reports whether a request of another instance has waited longer.
func (u *unmetTokenRequest) blocks(now time.Duration, from string, item wire.RateItem) bool {
	return now < u.until && u.from != from && u.since < waitingSince(now, item)
}

func waitingSince(now time.Duration, item wire.RateItem) time.Duration {
	return now - time.Duration(item.WaitedMicros)*time.Microsecond
}
