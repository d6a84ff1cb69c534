package overload

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/mastictray/mastictray/internal/propertytest"
)

func TestMain(m *testing.M) { propertytest.Main(m, 2000) }

// driver sends requests through a breaker as fast as it lets them.
type driver struct {
	b    *Breaker
	rng  *rand.Rand
	now  time.Duration
	sent int
}

func newDriver(seed uint64) *driver {
	return &driver{b: NewBreaker(BreakerConfig{}), rng: rand.New(rand.NewPCG(seed, 1))}
}

// run offers the target 100 requests every 100 ms, each answered within it.
func (d *driver) run(t time.Duration, r Result) (most int) {
	for end := d.now + t; d.now < end; d.now += 100 * time.Millisecond {
		var open []Ticket
		for range 100 {
			if d.b.Ready(d.now) {
				open = append(open, d.b.Begin())
			}
		}
		d.sent += len(open)
		most = max(most, len(open))
		for _, ticket := range open {
			d.b.End(d.now, ticket, r, d.rng)
		}
	}
	return most
}

// A target fails every request for a minute. After the first round it gets
// single probes, ever more seldom: the requests go elsewhere at once.
func TestFailingTargetGetsProbesOnly(t *testing.T) {
	is := is.New(t)
	d := newDriver(1)
	d.run(time.Second, Succeeded)
	d.run(time.Second, Failed)
	is.Equal(d.b.State(), Open)
	d.sent = 0
	most := d.run(time.Minute, Failed)
	is.Equal(most, 1)
	is.True(d.sent <= 15)
}

// The target works again. It is found within the longest wait and gets its
// full load after a few rounds, the first of them small.
func TestTargetComesBackSlowly(t *testing.T) {
	is := is.New(t)
	d := newDriver(1)
	d.run(30*time.Second, Failed)
	for d.b.State() == Open {
		d.run(100*time.Millisecond, Succeeded)
	}
	is.True(d.now <= 46*time.Second)
	is.True(d.run(100*time.Millisecond, Succeeded) <= 4)
	d.run(time.Second, Succeeded)
	is.Equal(d.b.State(), Closed)
}

// An engine restarts so fast that no request fails. Its cache is empty: each
// request costs a whole prefill, and its full load would build a queue.
func TestNewIncarnationStartsSlowly(t *testing.T) {
	is := is.New(t)
	d := newDriver(1)
	d.run(time.Second, Succeeded)
	d.b.Restarted()
	is.Equal(d.run(100*time.Millisecond, Succeeded), 1)
	d.run(time.Second, Succeeded)
	is.Equal(d.b.State(), Closed)
}

// A few requests in a hundred fail, and callers leave. That is no reason to
// keep work off the target.
func TestFewFailuresAndCancellationsDoNotOpen(t *testing.T) {
	is := is.New(t)
	d := newDriver(1)
	for i := range 10_000 {
		r := Succeeded
		switch {
		case i%20 == 0:
			r = Failed
		case i%2 == 0:
			r = Cancelled
		}
		is.True(d.b.Ready(d.now))
		d.b.End(d.now, d.b.Begin(), r, d.rng)
		d.now += 10 * time.Millisecond
	}
	is.Equal(d.b.State(), Closed)
}

// A target that fails one request in twenty restarts. It gets back to its full
// load: one failure on the way must not shut it off again.
func TestFewFailuresDoNotStopTheSlowStart(t *testing.T) {
	is := is.New(t)
	d := newDriver(1)
	d.b.Restarted()
	for i := 0; i < 400 && d.b.State() != Closed; i++ {
		r := Succeeded
		if i%20 == 19 {
			r = Failed
		}
		is.True(d.b.Ready(d.now))
		d.b.End(d.now, d.b.Begin(), r, d.rng)
	}
	is.Equal(d.b.State(), Closed)
}

// A target that was shut off comes back, and a thousand instances want to
// probe it. Their waits are spread, so that the probes are no herd.
func TestProbesOfManyInstancesAreSpread(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	perSlot := map[time.Duration]int{}
	for range 1000 {
		b := NewBreaker(BreakerConfig{FirstWait: 10 * time.Second})
		b.Unreachable(0, rng)
		perSlot[b.probeAt/time.Second]++
	}
	for _, n := range perSlot {
		is.True(n < 200)
	}
}

// Whatever results come in whatever order, also late ones from before the
// breaker opened: it never lets more through at once than its state allows,
// and never counts below zero.
func TestBreakerKeepsItsLimits(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := NewBreaker(BreakerConfig{SlowStartLimit: 4})
		rng := rand.New(rand.NewPCG(1, 1))
		var now time.Duration
		var open []Ticket
		for range rapid.IntRange(1, 200).Draw(rt, "steps") {
			switch rapid.IntRange(0, 5).Draw(rt, "step") {
			case 0, 1:
				if b.Ready(now) {
					open = append(open, b.Begin())
					if b.state == Open && b.inFlight > 1 || b.state == SlowStart && b.inFlight > b.limit {
						rt.Fatalf("state=%d in flight=%d limit=%d", b.state, b.inFlight, b.limit)
					}
				}
			case 2, 3:
				if len(open) > 0 {
					i := rapid.IntRange(0, len(open)-1).Draw(rt, "which")
					b.End(now, open[i], Result(rapid.IntRange(0, 2).Draw(rt, "result")), rng)
					open = append(open[:i], open[i+1:]...)
				}
			case 4:
				now += time.Duration(rapid.IntRange(0, 2000).Draw(rt, "ms")) * time.Millisecond
			case 5:
				if rapid.Bool().Draw(rt, "returned") {
					b.Restarted()
				} else {
					b.Unreachable(now, rng)
				}
			}
			if b.inFlight < 0 {
				rt.Fatalf("in flight=%d", b.inFlight)
			}
		}
	})
}
