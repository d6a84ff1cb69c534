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

// driver sends requests through a breaker as fast as it allows.
type driver struct {
	b    *Breaker
	rng  *rand.Rand
	now  time.Duration
	sent int
}

func newDriver(seed uint64) *driver {
	return &driver{b: NewBreaker(BreakerConfig{}), rng: rand.New(rand.NewPCG(seed, 1))}
}

// run offers 100 requests every 100 ms, each answered with r in the same interval. It
// returns the most requests that were in flight at once.
func (d *driver) run(t time.Duration, r Result) (maxInFlight int) {
	for end := d.now + t; d.now < end; d.now += 100 * time.Millisecond {
		var tickets []Ticket
		for range 100 {
			if d.b.Ready(d.now) {
				tickets = append(tickets, d.b.Begin())
			}
		}
		d.sent += len(tickets)
		maxInFlight = max(maxInFlight, len(tickets))
		for _, ticket := range tickets {
			d.b.End(d.now, ticket, r, d.rng)
		}
	}
	return maxInFlight
}

// A target fails every request for a minute. Once the breaker is open, it must only
// receive single probes at increasing intervals.
func TestFailingTargetGetsOnlyProbes(t *testing.T) {
	is := is.New(t)
	d := newDriver(1)
	d.run(time.Second, Succeeded)
	d.run(time.Second, Failed)
	is.Equal(d.b.State(), Open)
	d.sent = 0
	maxInFlight := d.run(time.Minute, Failed)
	is.Equal(maxInFlight, 1)
	is.True(d.sent <= 15)
}

// A target recovers. It must be detected within the longest wait, and its load must grow
// from a few requests to the full load.
func TestRecoveredTargetStartsSlowly(t *testing.T) {
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

// An engine restarts so quickly that no request fails. Its cache is empty, so each request
// costs a whole prefill, and the full load would build up a queue.
func TestNewIncarnationStartsSlowly(t *testing.T) {
	is := is.New(t)
	d := newDriver(1)
	d.run(time.Second, Succeeded)
	d.b.Restarted()
	is.Equal(d.run(100*time.Millisecond, Succeeded), 1)
	d.run(time.Second, Succeeded)
	is.Equal(d.b.State(), Closed)
}

// A few percent of the requests fail and callers disconnect. The breaker must stay closed.
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

// A target that fails one request in twenty restarts. It must reach its full load: a single
// failure during slow start must not open the breaker.
func TestFewFailuresDoNotStopSlowStart(t *testing.T) {
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

// A thousand instances probe a target after its breaker opened. Their waits must be spread,
// so that the target is not overloaded by simultaneous probes.
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

// For results in any order, including late ones from before the breaker opened, the breaker
// must never allow more requests in flight than its state permits, and its count must not
// become negative.
func TestBreakerNeverExceedsItsLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := NewBreaker(BreakerConfig{SlowStartLimit: 4})
		rng := rand.New(rand.NewPCG(1, 1))
		var now time.Duration
		var tickets []Ticket
		for range rapid.IntRange(1, 200).Draw(rt, "steps") {
			switch rapid.IntRange(0, 5).Draw(rt, "step") {
			case 0, 1:
				if b.Ready(now) {
					tickets = append(tickets, b.Begin())
					if b.state == Open && b.inFlight > 1 || b.state == SlowStart && b.inFlight > b.limit {
						rt.Fatalf("state=%d in flight=%d limit=%d", b.state, b.inFlight, b.limit)
					}
				}
			case 2, 3:
				if len(tickets) > 0 {
					i := rapid.IntRange(0, len(tickets)-1).Draw(rt, "which")
					b.End(now, tickets[i], Result(rapid.IntRange(0, 2).Draw(rt, "result")), rng)
					tickets = append(tickets[:i], tickets[i+1:]...)
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

// Guards against targets that get no requests for seconds after a partition because each failed
// probe during it has doubled the wait.
func TestReachableTargetIsUsedAtOnce(t *testing.T) {
	is := is.New(t)
	b, rng := NewBreaker(BreakerConfig{}), rand.New(rand.NewPCG(1, 1))
	now := time.Duration(0)
	for range 10 {
		b.Unreachable(now, rng)
		now += 20 * time.Second
	}
	b.Unreachable(now, rng)
	is.True(b.IsUnreachable())
	is.True(!b.Ready(now + time.Second))
	b.Reachable()
	is.Equal(b.State(), SlowStart)
	for range reachableLimit {
		is.True(b.Ready(now + time.Second))
		b.Begin()
	}
	is.True(!b.Ready(now + time.Second))
}

// Guards against a target that fails its requests and is used again because it accepts
// connections.
func TestFailingTargetStaysOpenWhenItAcceptsConnections(t *testing.T) {
	is := is.New(t)
	b, rng := NewBreaker(BreakerConfig{}), rand.New(rand.NewPCG(1, 1))
	for range 5 {
		b.End(0, b.Begin(), Failed, rng)
	}
	is.Equal(b.State(), Open)
	b.Reachable()
	is.Equal(b.State(), Open)
}
