package overload

import (
	"math/rand/v2"
	"time"
)

// BreakerConfig bounds a Breaker. Zero fields take their defaults.
type BreakerConfig struct {
	// Window is the time over which failures are counted; default 10s.
	Window time.Duration
	// MinRequests is how many requests it takes to judge by; default 5.
	MinRequests int
	// FailureRatio opens the breaker; default 0.5.
	FailureRatio float64
	// FirstWait is the time from opening to the first probe; it doubles with
	// each failed probe up to MaxWait. Defaults 250ms and 10s.
	FirstWait time.Duration
	MaxWait   time.Duration
	// SlowStartLimit is how many requests in flight end the slow start; default 32.
	SlowStartLimit int
}

func (c BreakerConfig) withDefaults() BreakerConfig {
	setDefault(&c.Window, 10*time.Second)
	setDefault(&c.MinRequests, 5)
	setDefault(&c.FailureRatio, 0.5)
	setDefault(&c.FirstWait, 250*time.Millisecond)
	setDefault(&c.MaxWait, 10*time.Second)
	setDefault(&c.SlowStartLimit, 32)
	return c
}

func setDefault[T int | float64 | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

// BreakerState says what a Breaker lets through.
type BreakerState int

// The states.
const (
	// Closed: all requests.
	Closed BreakerState = iota
	// SlowStart: as many at once as have been answered since the start, so
	// that a target back with an empty cache is not given its full part of
	// the load while each request costs it a whole prefill.
	SlowStart
	// Open: none until the wait is over, then one probe.
	Open
)

// Result is what became of a request.
type Result int

// The results.
const (
	// Succeeded: the target did its work.
	Succeeded Result = iota
	// Failed: the target broke off, timed out or answered with a server
	// error.
	Failed
	// Cancelled: the caller left, or the request was at fault. It says
	// nothing about the target.
	Cancelled
)

// Breaker keeps new work off a target that fails, and brings it back slowly.
// It is not safe for concurrent use.
type Breaker struct {
	cfg      BreakerConfig
	state    BreakerState
	counts   [2]tally
	turnedAt time.Duration
	// limit is the requests in flight that SlowStart allows.
	limit    int
	inFlight int
	wait     time.Duration
	probeAt  time.Duration
	// round changes with each opening: what was sent before says nothing
	// about the target since.
	round int
}

type tally struct{ failed, total int }

// NewBreaker makes a closed breaker.
func NewBreaker(cfg BreakerConfig) *Breaker {
	cfg = cfg.withDefaults()
	return &Breaker{cfg: cfg, wait: cfg.FirstWait}
}

// State is the present state.
func (b *Breaker) State() BreakerState { return b.state }

// Ready says whether the target may get a request now.
func (b *Breaker) Ready(now time.Duration) bool {
	switch b.state {
	case SlowStart:
		return b.inFlight < b.limit
	case Open:
		return now >= b.probeAt && b.inFlight == 0
	}
	return true
}

// Limit is how many requests may be in flight; 0 for any number.
func (b *Breaker) Limit() int {
	switch b.state {
	case SlowStart:
		return b.limit
	case Open:
		return 1
	}
	return 0
}

// InFlight counts the requests sent since the last change of state.
func (b *Breaker) InFlight() int { return b.inFlight }

// Ticket ties a request's result to the time it was sent in.
type Ticket struct{ round int }

// Begin counts a request that is sent. Call it only when Ready.
func (b *Breaker) Begin() Ticket {
	b.inFlight++
	return Ticket{round: b.round}
}

// End takes the result of a request.
func (b *Breaker) End(now time.Duration, t Ticket, r Result, rng *rand.Rand) {
	if t.round != b.round {
		return
	}
	b.inFlight--
	switch {
	case r == Cancelled:
	case b.state == Closed:
		b.count(now, r, rng)
	case r == Failed:
		b.shrink(now, rng)
	default:
		b.grow()
	}
}

// shrink halves what is let through, and stops it at the first request: a
// target that fails a few requests in a hundred still gets back to its full
// load, one that fails them all is shut off after a handful.
func (b *Breaker) shrink(now time.Duration, rng *rand.Rand) {
	b.limit /= 2
	if b.limit == 0 {
		b.open(now, rng)
	}
}

// grow lets one more request in for each that succeeds: the rate doubles with
// each round of answers.
func (b *Breaker) grow() {
	if b.state == Open {
		b.state, b.limit = SlowStart, 1
	}
	b.limit++
	if b.limit > b.cfg.SlowStartLimit {
		b.state, b.wait = Closed, b.cfg.FirstWait
		b.counts = [2]tally{}
	}
}

func (b *Breaker) count(now time.Duration, r Result, rng *rand.Rand) {
	if now-b.turnedAt >= b.cfg.Window/2 {
		if now-b.turnedAt >= b.cfg.Window {
			b.counts[0] = tally{}
		}
		b.counts[1], b.counts[0] = b.counts[0], tally{}
		b.turnedAt = now
	}
	b.counts[0].total++
	if r == Failed {
		b.counts[0].failed++
	}
	failed, total := b.counts[0].failed+b.counts[1].failed, b.counts[0].total+b.counts[1].total
	if total >= b.cfg.MinRequests && float64(failed) >= b.cfg.FailureRatio*float64(total) {
		b.open(now, rng)
	}
}

// open stops new work. The wait is spread by chance: without that, all
// instances would probe a target that just came back at the same moment.
func (b *Breaker) open(now time.Duration, rng *rand.Rand) {
	if b.state != Closed {
		b.wait = min(2*b.wait, b.cfg.MaxWait)
	}
	b.state, b.limit, b.inFlight = Open, 0, 0
	b.round++
	b.counts = [2]tally{}
	b.probeAt = now + b.wait/2 + time.Duration(rng.Int64N(int64(b.wait)))
}

// Unreachable tells that the target can't be connected to: no need to count.
func (b *Breaker) Unreachable(now time.Duration, rng *rand.Rand) {
	if b.state != Open || now >= b.probeAt {
		b.open(now, rng)
	}
}

// Restarted tells that the target answers as a new incarnation, with an empty
// cache: it starts slowly, also when it failed nobody's request.
func (b *Breaker) Restarted() {
	b.state, b.limit, b.inFlight = SlowStart, 1, 0
	b.round++
}
