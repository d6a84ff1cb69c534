package ratecount

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// arrivalInterval is the time between two arrivals of requests.
	arrivalInterval = 10 * time.Millisecond
	// largeFleetInterval is the report interval of a fleet of about sixty
	// instances.
	largeFleetInterval = 300 * time.Millisecond
	// messageDelay is the delay of a message between two instances.
	messageDelay = 50 * time.Millisecond
	// minRetryDelay is the shortest time after which a refused caller retries.
	minRetryDelay = 100 * time.Millisecond
	largeFleet    = 61
	// accountRate is the account's rate in tokens per second, and its burst in
	// tokens.
	accountRate = 1_000_000.0
	// requestTokens is the cost of one request in tokens.
	requestTokens = 5000.0
)

// retryFleet is a fleet whose instances report at the same moments, and an
// account whose refused callers retry after the wait that Admit returned.
type retryFleet struct {
	fleet
	rng         *rand.Rand
	interval    time.Duration
	retries     map[time.Duration]int
	requestsDue float64
	refusals    int
}

func newRetryFleet(n int, interval time.Duration, rate float64) *retryFleet {
	f := &retryFleet{rng: rand.New(rand.NewPCG(1, 1)), interval: interval, retries: map[time.Duration]int{}}
	for range n {
		l := New()
		l.SetLimits(0, map[string]Limit{"a": {Rate: rate, Burst: rate}})
		l.SetFleetSize(0, n, max(PeerTimeout, 4*interval))
		f.instances = append(f.instances, l)
	}
	return f
}

// run has callers request the given number of tokens per second, spread over the
// first `receivers` instances.
func (f *retryFleet) run(length time.Duration, tokens float64, receivers int) {
	names, counts := make([]string, len(f.instances)), make([]map[string]float64, len(f.instances))
	for i := range names {
		names[i] = fmt.Sprint(i)
	}
	for end := f.now + length; f.now < end; f.now += arrivalInterval {
		if f.now%f.interval == 0 {
			for i, l := range f.instances {
				counts[i] = l.ReportSpent()
			}
		}
		if f.now%f.interval == messageDelay {
			for i := range f.instances {
				for j, peer := range f.instances {
					if i != j && counts[i] != nil {
						peer.ApplyReports(f.now, Report{Incarnation: names[i], At: f.now, Spent: counts[i]})
					}
				}
			}
		}
		f.requestsDue += tokens * arrivalInterval.Seconds() / requestTokens
		requests := f.retries[f.now] + int(f.requestsDue)
		f.requestsDue -= float64(int(f.requestsDue))
		delete(f.retries, f.now)
		for range requests {
			f.ask(f.instances[f.rng.IntN(receivers)])
		}
	}
}

func (f *retryFleet) ask(l *Limiter) {
	wait, ok := l.Admit(f.now, "a", requestTokens)
	if ok {
		f.admitted = append(f.admitted, admission{f.now, requestTokens})
		return
	}
	f.refusals++
	f.retries[f.now+max(wait, minRetryDelay).Truncate(arrivalInterval)+arrivalInterval]++
}

// Guards against synchronized retries. Refused callers on all instances wait
// until the account's bucket is refilled, so they retry together. Each instance
// has tokens in the bucket, receives the others' spending only with their next
// report, and admits everyone. The account then gets far more than its rate and
// burst within one window, and nothing for the next seconds.
func TestSynchronizedRetriesStayWithinRate(t *testing.T) {
	is := is.New(t)
	f := newRetryFleet(largeFleet, largeFleetInterval, accountRate)
	const normalLoad = 0.55 * accountRate
	f.run(5*time.Second, normalLoad, largeFleet)
	f.run(10*time.Second, 7*normalLoad, largeFleet)
	const (
		window = 8 * time.Second
		// overage is the fraction by which the allowance may be exceeded, slack a
		// number of tokens on top of that.
		overage = 0.1
		slack   = 140_000
	)
	most := f.maxInWindow(window)
	t.Logf("%.0f tokens in %v", most, window)
	is.True(most <= (accountRate*window.Seconds()+accountRate)*(1+overage)+slack)
	// The account still gets its full rate.
	is.True(most >= accountRate*window.Seconds())
}

// Guards against refusals of an account within its rate that come from the limit
// on what one instance may admit between two reports. Requests may be spread
// over a large or a small fleet, or all arrive at one instance, from the start
// or after a change.
func TestSharesRefuseNothingWithinTheRate(t *testing.T) {
	for _, c := range []struct {
		name      string
		instances int
		interval  time.Duration
		receivers int
		load      float64
	}{
		{"large fleet", largeFleet, largeFleetInterval, largeFleet, 0.55},
		{"large fleet, near the rate", largeFleet, largeFleetInterval, largeFleet, 0.9},
		{"few instances of a large fleet", largeFleet, largeFleetInterval, 3, 0.9},
		{"one instance of a large fleet", largeFleet, largeFleetInterval, 1, 0.9},
		{"small fleet", 6, 150 * time.Millisecond, 6, 0.9},
		{"one instance of a small fleet", 6, 150 * time.Millisecond, 1, 0.9},
		{"one instance", 1, 150 * time.Millisecond, 1, 0.9},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newRetryFleet(c.instances, c.interval, accountRate)
			f.run(2*time.Second, 0, 1) // lets the bucket fill
			f.run(4*time.Second, c.load*accountRate, c.instances)
			f.run(4*time.Second, c.load*accountRate, c.receivers)
			is.Equal(f.refusals, 0)
		})
	}
}

// Guards against an isolated instance that refuses because nobody receives its
// reports. An overloaded account loses all peers of an instance; the instance
// then has the whole bucket to itself and admits the full rate once the debt is
// paid.
func TestIsolatedInstanceAdmitsTheWholeRate(t *testing.T) {
	is := is.New(t)
	f := newRetryFleet(largeFleet, largeFleetInterval, accountRate)
	f.run(5*time.Second, 2*accountRate, largeFleet)
	alone := f.instances[0]
	start := f.now + 2*time.Second // all peers count as silent by then
	alone.SetFleetSize(start, 1, PeerTimeout)
	startBalance := alone.accounts["a"].balance
	const length = 4 * time.Second
	admitted := 0.0
	for now := start; now < start+length; now += arrivalInterval {
		for range 4 {
			if _, ok := alone.Admit(now, "a", requestTokens); ok {
				admitted += requestTokens
			}
		}
	}
	is.True(admitted >= accountRate*(length-arrivalInterval).Seconds()+startBalance-requestTokens)
}
