package ratecount

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/mastictray/mastictray/internal/propertytest"
)

func TestMain(m *testing.M) { propertytest.Main(m, 200) }

const (
	testRate  = 1000.0
	testBurst = 1000.0
	// reportInterval is the time between two reports.
	reportInterval = 250 * time.Millisecond
)

// fleet is a set of instances that report to each other what they spent.
type fleet struct {
	now       time.Duration
	instances []*Limiter
	admitted  []admission
}

type admission struct {
	at     time.Duration
	tokens float64
}

func newFleet(n int) *fleet {
	f := &fleet{}
	for range n {
		l := New()
		l.SetLimits(0, map[string]Limit{"a": {Rate: testRate, Burst: testBurst}})
		l.SetFleetSize(0, n, PeerTimeout)
		f.instances = append(f.instances, l)
	}
	return f
}

// step advances the time by one interval. Each instance gets a request, and
// instances that can reach each other exchange reports.
func (f *fleet) step(tokens float64, reachable func(from, to int) bool) {
	f.now += reportInterval
	for _, l := range f.instances {
		if _, ok := l.Admit(f.now, "a", tokens); ok {
			f.admitted = append(f.admitted, admission{f.now, tokens})
		}
	}
	for from, l := range f.instances {
		for to, peer := range f.instances {
			if from != to && reachable(from, to) {
				peer.ApplyReports(f.now, Report{Incarnation: string(rune('a' + from)), At: f.now, Spent: l.ReportSpent()})
			}
		}
	}
}

// maxInWindow returns the most tokens admitted in any window.
func (f *fleet) maxInWindow(window time.Duration) float64 {
	most := 0.0
	for i := range f.admitted {
		sum := 0.0
		for _, a := range f.admitted[i:] {
			if a.at < f.admitted[i].at+window {
				sum += a.tokens
			}
		}
		most = max(most, sum)
	}
	return most
}

func fullyConnected(int, int) bool { return true }

// An account requests far more than its rate on every instance. What exceeds the
// rate is refused, the rate itself is served, and tokens spent between two
// reports are deducted from what is admitted next.
func TestFleetStaysWithinTheRate(t *testing.T) {
	is := is.New(t)
	f := newFleet(6)
	for range 120 {
		f.step(100, fullyConnected)
	}
	const window = 8 * time.Second
	inOneInterval := 6 * 100.0
	is.True(f.maxInWindow(window) <= testRate*window.Seconds()+testBurst+inOneInterval)
	is.True(f.maxInWindow(window) >= testRate*window.Seconds()*0.9)
}

// The fleet is partitioned into two halves. Each keeps serving its fraction, and
// together they stay within the rate.
func TestPartitionedHalvesStayWithinRate(t *testing.T) {
	is := is.New(t)
	f := newFleet(6)
	sameSide := func(from, to int) bool { return (from < 2) == (to < 2) }
	for range 20 {
		f.step(100, fullyConnected)
	}
	beforePartition := len(f.admitted)
	for range 120 {
		f.step(100, sameSide)
	}
	f.admitted = f.admitted[beforePartition:]
	const window = 8 * time.Second
	is.True(f.maxInWindow(window) <= testRate*window.Seconds()+testBurst+6*100)
	is.True(f.maxInWindow(window) >= testRate*window.Seconds()*0.8)
}

// Links fail and heal at any time, in one or both directions. No window holds
// more than the rate, the burst and what may be spent unseen until a peer that
// fell silent counts as silent.
func TestRateHoldsUnderAnyCuts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(2, 6).Draw(rt, "instances")
		tokens := float64(rapid.IntRange(10, 200).Draw(rt, "tokens"))
		f := newFleet(n)
		down := map[[2]int]bool{}
		for range 100 {
			if rapid.IntRange(0, 4).Draw(rt, "change") == 0 {
				link := [2]int{rapid.IntRange(0, n-1).Draw(rt, "from"), rapid.IntRange(0, n-1).Draw(rt, "to")}
				down[link] = !down[link]
			}
			f.step(tokens, func(from, to int) bool { return !down[[2]int{from, to}] })
		}
		const window = 8 * time.Second
		// A link failure goes unnoticed for PeerTimeout, during which both ends may
		// spend from the whole bucket.
		unseen := float64(n) * (testBurst + testRate*PeerTimeout.Seconds())
		if got := f.maxInWindow(window); got > testRate*window.Seconds()+testBurst+unseen {
			rt.Fatalf("%.0f tokens in %v", got, window)
		}
	})
}

// Guards against an instance that restarts repeatedly and admits a whole burst
// each time because its bucket starts full.
func TestRestartedInstanceStartsWithoutTokens(t *testing.T) {
	is := is.New(t)
	l := New()
	l.SetLimits(0, map[string]Limit{"a": {Rate: testRate, Burst: testBurst}})
	_, ok := l.Admit(0, "a", 100)
	is.True(!ok)
	wait, ok := l.Admit(50*time.Millisecond, "a", 100)
	is.True(!ok)
	is.Equal(wait, 50*time.Millisecond)
	_, ok = l.Admit(100*time.Millisecond, "a", 100)
	is.True(ok)
}

// Guards against deducting a peer's spending twice. What a peer spent while it
// was silent came out of its own fraction; deducted here as well, it would block
// this instance for seconds.
func TestSpendDuringSilenceIsNotDeducted(t *testing.T) {
	is := is.New(t)
	l := New()
	l.SetLimits(0, map[string]Limit{"a": {Rate: testRate, Burst: testBurst}})
	l.SetFleetSize(0, 2, PeerTimeout)
	l.ApplyReports(0, Report{Incarnation: "p", Spent: map[string]float64{"a": 0}})
	l.ApplyReports(10*time.Second, Report{Incarnation: "p", At: 10 * time.Second, Spent: map[string]float64{"a": 50_000}})
	_, ok := l.Admit(10*time.Second, "a", 400)
	is.True(ok)
}

// A request larger than the bucket is admitted once the bucket is full and
// leaves a debt; otherwise it could never run.
func TestRequestLargerThanTheBurst(t *testing.T) {
	is := is.New(t)
	l := New()
	l.SetLimits(0, map[string]Limit{"a": {Rate: testRate, Burst: testBurst}})
	_, ok := l.Admit(time.Second, "a", 3000)
	is.True(ok)
	wait, ok := l.Admit(time.Second, "a", 100)
	is.True(!ok)
	is.Equal(wait, 2100*time.Millisecond)
}

func TestNoLimitAndRefund(t *testing.T) {
	is := is.New(t)
	l := New()
	_, ok := l.Admit(0, "free", 1e9)
	is.True(ok)
	l.SetLimits(0, map[string]Limit{"a": {Rate: testRate, Burst: testBurst}})
	_, ok = l.Admit(time.Second, "a", 1000)
	is.True(ok)
	l.Refund(time.Second, "a", 1000)
	_, ok = l.Admit(time.Second, "a", 1000)
	is.True(ok)
}
