package overload

import (
	"math/rand/v2"
	"time"
)

// BreakerConfig configures a Breaker. Zero fields take their defaults.
type BreakerConfig struct {
	// Window is the time over which failures are counted; default 10s.
	Window time.Duration
	// MinRequests is the minimum number of requests in the window before the breaker
	// may open; default 5.
	MinRequests int
	// FailureRatio is the fraction of failed requests that opens the breaker; default
	// 0.5.
	FailureRatio float64
	// FirstWait is the time from opening to the first probe. It doubles with each failed
	// probe up to MaxWait. Defaults 250ms and 10s.
	FirstWait time.Duration
	MaxWait   time.Duration
	// SlowStartLimit is the number of requests in flight above which slow start ends;
	// default 32.
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

// BreakerState determines which requests a Breaker allows.
type BreakerState int

// The states.
const (
	// Closed allows all requests.
	Closed BreakerState = iota
	// SlowStart limits the requests in flight and raises the limit with each success. A
	// target that restarted with an empty cache does not get its full load while each
	// request costs it a whole prefill.
	SlowStart
	// Open allows no requests until the wait has passed, then a single probe.
	Open
)

// Result is the outcome of a request.
type Result int

// The results.
const (
	// Succeeded means that the target processed the request.
	Succeeded Result = iota
	// Failed means that the connection was lost, the request timed out or the answer was
	// a server error.
	Failed
	// Cancelled means that the caller disconnected or the request was invalid. It says
	// nothing about the target.
	Cancelled
)

// Breaker is a circuit breaker for one target with a slow start after recovery. It is not
// safe for concurrent use.
type Breaker struct {
	cfg             BreakerConfig
	state           BreakerState
	counts          [2]outcomeCounts
	halfWindowStart time.Duration
	// limit is the number of requests in flight that SlowStart allows.
	limit        int
	inFlight     int
	openDuration time.Duration
	probeAt      time.Duration
	// unreachable is set while the breaker is open because no connection can be made.
	unreachable bool
	// epoch increases when the breaker opens or the target restarts. Results of requests
	// from an earlier epoch are ignored, as they say nothing about the current state of
	// the target.
	epoch int
}

// outcomeCounts counts the requests of half a window.
type outcomeCounts struct{ failed, total int }

// NewBreaker returns a closed breaker.
func NewBreaker(cfg BreakerConfig) *Breaker {
	cfg = cfg.withDefaults()
	return &Breaker{cfg: cfg, openDuration: cfg.FirstWait}
}

// State returns the current state.
func (b *Breaker) State() BreakerState { return b.state }

// Ready reports whether the target may receive a request now.
func (b *Breaker) Ready(now time.Duration) bool {
	switch b.state {
	case SlowStart:
		return b.inFlight < b.limit
	case Open:
		return now >= b.probeAt && b.inFlight == 0
	}
	return true
}

// Limit returns the maximum number of requests in flight; 0 means no limit.
func (b *Breaker) Limit() int {
	switch b.state {
	case SlowStart:
		return b.limit
	case Open:
		return 1
	}
	return 0
}

// InFlight returns the number of requests in flight that were sent in the current epoch.
func (b *Breaker) InFlight() int { return b.inFlight }

// Ticket assigns the result of a request to the epoch in which it was sent.
type Ticket struct{ epoch int }

// Begin records that a request is sent. Call it only if Ready returns true.
func (b *Breaker) Begin() Ticket {
	b.inFlight++
	return Ticket{epoch: b.epoch}
}

// End records the result of a request.
func (b *Breaker) End(now time.Duration, t Ticket, r Result, rng *rand.Rand) {
	if t.epoch != b.epoch {
		return
	}
	b.inFlight--
	switch {
	case r == Cancelled:
	case b.state == Closed:
		b.count(now, r, rng)
	case r == Failed:
		b.halveLimit(now, rng)
	default:
		b.raiseLimit()
	}
}

// halveLimit halves the slow start limit and opens the breaker when it reaches 0. A target
// that fails a few percent of its requests still reaches its full load; one that fails
// all of them is cut off after a handful.
func (b *Breaker) halveLimit(now time.Duration, rng *rand.Rand) {
	b.limit /= 2
	if b.limit == 0 {
		b.open(now, rng)
	}
}

// raiseLimit raises the slow start limit by one for each success, so that the limit
// doubles with each round of answers.
func (b *Breaker) raiseLimit() {
	if b.state == Open {
		b.state, b.limit, b.unreachable = SlowStart, 1, false
	}
	b.limit++
	if b.limit > b.cfg.SlowStartLimit {
		b.state, b.openDuration = Closed, b.cfg.FirstWait
		b.counts = [2]outcomeCounts{}
	}
}

func (b *Breaker) count(now time.Duration, r Result, rng *rand.Rand) {
	if now-b.halfWindowStart >= b.cfg.Window/2 {
		if now-b.halfWindowStart >= b.cfg.Window {
			b.counts[0] = outcomeCounts{}
		}
		b.counts[1], b.counts[0] = b.counts[0], outcomeCounts{}
		b.halfWindowStart = now
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

// open stops new requests. The wait is randomised; otherwise all instances would probe a
// recovered target at the same moment.
func (b *Breaker) open(now time.Duration, rng *rand.Rand) {
	if b.state != Closed {
		b.openDuration = min(2*b.openDuration, b.cfg.MaxWait)
	}
	b.state, b.limit, b.inFlight = Open, 0, 0
	b.epoch++
	b.counts = [2]outcomeCounts{}
	b.probeAt = now + b.openDuration/2 + time.Duration(rng.Int64N(int64(b.openDuration)))
}

// Unreachable opens the breaker because no connection to the target can be made, without
// waiting for further failures.
func (b *Breaker) Unreachable(now time.Duration, rng *rand.Rand) {
	if b.state != Open || now >= b.probeAt {
		b.open(now, rng)
	}
	b.unreachable = true
}

// IsUnreachable reports whether the breaker is open because no connection could be made.
func (b *Breaker) IsUnreachable() bool { return b.unreachable }

// reachableLimit is the slow start limit of a target that accepts connections again. It has
// probably kept running.
const reachableLimit = 4

// Reachable begins a slow start because an unreachable target accepts connections again, without
// waiting for the next probe. It has no effect on a target that failed otherwise.
func (b *Breaker) Reachable() {
	if !b.unreachable {
		return
	}
	b.state, b.limit, b.inFlight, b.unreachable = SlowStart, reachableLimit, 0, false
	b.openDuration = b.cfg.FirstWait
	b.epoch++
}

// Restarted begins a slow start because the target answers as a new incarnation, whose
// cache is empty, even if no request has failed.
func (b *Breaker) Restarted() {
	b.state, b.limit, b.inFlight, b.unreachable = SlowStart, 1, 0, false
	b.epoch++
}
