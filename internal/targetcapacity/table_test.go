package targetcapacity

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/directory"
)

func incarnation(name string, started int64) directory.Incarnation {
	return directory.Incarnation{ID: name, StartedMs: started}
}

// fleet simulates instances that measure the same targets and receive each other's reports
// late.
type fleet struct {
	rng       *rand.Rand
	ids       []directory.Incarnation
	rates     []float64
	instances []*Table
	// queueShare returns the share of a target's answers that wait for unknown work.
	queueShare func(target int) float64
	// cut instances send and receive no reports.
	cut map[int]bool
	// inFlight are the reports published at the last steps.
	inFlight [][]published
}

type published struct {
	at      time.Duration
	from    int
	reports []Report
}

const (
	fleetStep  = 100 * time.Millisecond
	fleetDelay = 3 // steps until a report arrives
	// samplesPerTarget is the number of usable answers per second and target, of all
	// instances together.
	samplesPerTarget = 3.0
	// In spells, for spellShare of the time, a target is spellFactor times slower.
	spellShare, spellFactor = 0.15, 2.5
)

func newFleet(instances int, rates []float64) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(7, 7)), rates: rates, cut: map[int]bool{}}
	f.queueShare = func(int) float64 { return 0.2 }
	for i := range rates {
		f.ids = append(f.ids, incarnation(fmt.Sprintf("t%04d", i), 1))
	}
	for range instances {
		f.instances = append(f.instances, f.newInstance())
	}
	return f
}

func (f *fleet) newInstance() *Table {
	t := New()
	t.SetTargets(f.ids)
	return t
}

// unequalRates returns rates of which one in three is 2.4 times lower than the others.
func unequalRates(n int) []float64 {
	rates := make([]float64, n)
	for i := range rates {
		rates[i] = 212_000
		if i%3 == 0 {
			rates[i] = 87_000
		}
	}
	return rates
}

func (f *fleet) run(from, to time.Duration) {
	for now := from; now < to; now += fleetStep {
		for i, rate := range f.rates {
			if f.rng.Float64() < samplesPerTarget*fleetStep.Seconds() {
				f.instances[f.rng.IntN(len(f.instances))].Observe(now, f.ids[i], f.sample(i, rate))
			}
		}
		var sent []published
		for i, t := range f.instances {
			if !f.cut[i] {
				sent = append(sent, published{now, i, t.Reports(now)})
			}
			if now%time.Second == 0 {
				t.Update(now)
			}
		}
		f.inFlight = append(f.inFlight, sent)
		if len(f.inFlight) > fleetDelay {
			f.deliver(f.inFlight[0])
			f.inFlight = f.inFlight[1:]
		}
	}
}

func (f *fleet) sample(target int, rate float64) float64 {
	rate *= 0.93 + 0.14*f.rng.Float64()
	if f.rng.Float64() < spellShare {
		rate /= spellFactor
	}
	if f.rng.Float64() < f.queueShare(target) {
		rate *= f.rng.Float64()
	}
	return rate
}

func (f *fleet) deliver(sent []published) {
	for _, p := range sent {
		for i, t := range f.instances {
			if i == p.from || f.cut[i] {
				continue
			}
			for _, r := range p.reports {
				t.Apply(p.at, fmt.Sprint("i", p.from), r)
			}
		}
	}
}

// agreed returns the share of targets whose rate an instance knows to within a tenth.
func (f *fleet) agreed(now time.Duration, t *Table) float64 {
	right := 0
	for i, id := range f.ids {
		if r, ok := t.Rate(now, id); ok && math.Abs(r.TokensPerSecond/f.rates[i]-1) < 0.1 {
			right++
		}
	}
	return float64(right) / float64(len(f.ids))
}

// The load: 90 targets of two speeds, of which each instance measures one in 30 a second.
func TestInstancesAgreeOnRates(t *testing.T) {
	for _, instances := range []int{20, 80} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			is := is.New(t)
			f := newFleet(instances, unequalRates(90))
			const end = 12 * time.Second
			f.run(0, end)
			for _, table := range f.instances {
				is.True(f.agreed(end, table) > 0.8)
				is.True(table.Spread().Unequal)
			}
		})
	}
}

// Guards against an instance that assumes one rate for all targets after its restart.
func TestNewInstanceLearnsFromPeers(t *testing.T) {
	is := is.New(t)
	f := newFleet(80, unequalRates(90))
	f.run(0, 12*time.Second)
	f.instances[0] = f.newInstance()
	f.run(12*time.Second, 20*time.Second)
	is.True(f.agreed(20*time.Second, f.instances[0]) > 0.5)
	is.True(f.instances[0].Spread().Unequal)
}

// Guards against targets of nearly equal speed, with spells and unknown work, being
// treated as unequal.
func TestSimilarTargetsCountAsEqual(t *testing.T) {
	for _, instances := range []int{1, 6, 30, 80} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			is := is.New(t)
			rates := make([]float64, 60)
			for i := range rates {
				rates[i] = []float64{100_000, 100_000, 130_000}[i%3]
			}
			f := newFleet(instances, rates)
			for second := range 25 {
				now := time.Duration(second) * time.Second
				f.run(now, now+time.Second)
				for _, table := range f.instances {
					is.True(!table.Spread().Unequal)
				}
			}
			is.Equal(f.instances[0].Update(time.Minute), nil)
		})
	}
}

// Guards against targets of nearly equal speed being treated as unequal because some of them
// are overloaded.
func TestOverloadedTargetsCountAsEqual(t *testing.T) {
	for _, instances := range []int{6, 80} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			is := is.New(t)
			rates := make([]float64, 60)
			for i := range rates {
				rates[i] = []float64{100_000, 100_000, 130_000}[i%3]
			}
			f := newFleet(instances, rates)
			f.queueShare = func(target int) float64 { return 0.3 + 0.6*float64(target%7)/6 }
			for second := range 25 {
				now := time.Duration(second) * time.Second
				f.run(now, now+time.Second)
				for _, table := range f.instances {
					is.True(!table.Spread().Unequal)
				}
			}
		})
	}
}

// Guards against one instance that publishes wrong rates and so draws requests to a target,
// or keeps them away.
func TestWrongInstanceDoesNotSetRate(t *testing.T) {
	for _, wrong := range []int{1, 900_000_000} {
		is := is.New(t)
		table, id := New(), incarnation("t", 1)
		table.SetTargets([]directory.Incarnation{id})
		table.Apply(time.Second, "a", Report{Target: id, TokensPerSecond: 90_000, Samples: 2})
		table.Apply(time.Second, "b", Report{Target: id, TokensPerSecond: 92_000, Samples: 2})
		for i := range 50 {
			table.Apply(time.Duration(i)*time.Second, "wrong", Report{Target: id, TokensPerSecond: wrong + i, Samples: 8})
		}
		r, ok := table.Rate(50*time.Second, id)
		is.True(ok)
		is.True(r.TokensPerSecond >= 90_000 && r.TokensPerSecond <= 92_000)
	}
}

// Guards against impossible measurements, such as that of an answer without prefill.
func TestImpossibleRatesAreIgnored(t *testing.T) {
	is := is.New(t)
	table, id := New(), incarnation("t", 1)
	table.SetTargets([]directory.Incarnation{id})
	for _, rate := range []float64{0, -5, math.NaN(), math.Inf(1)} {
		for range minSamples {
			table.Observe(time.Second, id, rate)
		}
	}
	for i := range minSamples {
		table.Apply(time.Second, fmt.Sprint(i), Report{Target: id, TokensPerSecond: -1, Samples: 3})
	}
	_, ok := table.Rate(time.Second, id)
	is.True(!ok)
}

// Guards against a restarted target that is given the rate of its predecessor at the same
// address.
func TestNewIncarnationForgets(t *testing.T) {
	is := is.New(t)
	table, old, next := New(), incarnation("t", 1), incarnation("t", 2)
	table.SetTargets([]directory.Incarnation{old})
	for range minSamples {
		table.Observe(time.Second, old, 90_000)
	}
	_, ok := table.Rate(time.Second, old)
	is.True(ok)
	is.Equal(len(table.Reports(time.Second)), 1)
	table.SetTargets([]directory.Incarnation{next})
	is.Equal(len(table.Reports(time.Second)), 0)
	for i := range 5 {
		table.Apply(2*time.Second, fmt.Sprint(i), Report{Target: old, TokensPerSecond: 90_000, Samples: 5})
	}
	_, ok = table.Rate(2*time.Second, next)
	is.True(!ok)
}

// Guards against an instance that is cut off from its peers and goes on for ever with what
// it knew before.
func TestReportsExpire(t *testing.T) {
	is := is.New(t)
	f := newFleet(20, unequalRates(30))
	f.run(0, 10*time.Second)
	f.cut[0] = true
	_, ok := f.instances[0].Rate(30*time.Second, f.ids[1])
	is.True(ok) // the rate of an incarnation seldom changes
	_, ok = f.instances[0].Rate(10*time.Second+reportExpiry, f.ids[1])
	is.True(!ok)
}

// Guards against messages that grow with the number of targets, and against reports that
// go on although the fleet knows the rates.
func TestPublishedReportsAreBounded(t *testing.T) {
	is := is.New(t)
	f := newFleet(20, unequalRates(10))
	f.run(0, 30*time.Second)
	sent := 0
	for _, table := range f.instances {
		n := len(table.Reports(30 * time.Second))
		is.True(n <= MaxPublished)
		sent += n
	}
	is.True(sent <= 20) // each target gets 8 reports in 10 s, each published for 1 s
}

// Guards against homes of prefixes that move whenever an estimate does.
func TestWeightsKeepThroughSmallChanges(t *testing.T) {
	is := is.New(t)
	s := &target{}
	first := s.updateWeight(100_000)
	for _, rate := range []float64{103_000, 96_000, 105_000, 98_000} {
		is.Equal(s.updateWeight(rate), first)
	}
	is.True(s.updateWeight(140_000) > first)
	is.True(s.updateWeight(70_000) < first)
}

func ratesOf(values ...float64) []Rate {
	rates := make([]Rate, len(values))
	for i, v := range values {
		rates[i] = Rate{TokensPerSecond: v, Low: v, High: v}
	}
	return rates
}

// Guards against alternation between weighted and unweighted homes while the ratio of the
// rates is near the limit.
func TestUnequalHasHysteresis(t *testing.T) {
	is := is.New(t)
	var s spread
	changes, last := 0, false
	for i := range 200 {
		ratio := 1.48
		if i%2 == 0 {
			ratio = 1.52
		}
		s.update(time.Duration(i)*time.Second, ratesOf(1, 1, ratio, ratio), 4)
		if s.unequal != last {
			changes++
		}
		last = s.unequal
	}
	is.True(changes <= 1)
	s = spread{}
	s.update(0, ratesOf(1, 1, 2, 2), 4)
	is.True(!s.unequal)
	s.update(unequalAfter, ratesOf(1, 1, 2, 2), 4)
	is.True(s.unequal)
	s.update(unequalAfter, ratesOf(1, 1, 1, 1), 4)
	s.update(2*unequalAfter, ratesOf(1, 1, 1, 1), 4)
	is.True(!s.unequal)
}
