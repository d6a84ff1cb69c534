package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/directory"
	"github.com/mastictray/mastictray/internal/routing"
	"github.com/mastictray/mastictray/internal/wire"
)

// capacityFixture is a service with nine targets whose rates peers report.
type capacityFixture struct {
	now     time.Duration
	service *engineService
	regs    []directory.Registration
}

func newCapacityFixture() *capacityFixture {
	f := &capacityFixture{now: time.Second}
	clock := func() time.Duration { return f.now }
	limits := newTargetLimits(clock, "self")
	learnBounds(limits)
	f.service = newEngineService(clock, "engines", "d", 80_000, limits, newDomainReach(clock), Features{})
	for i := range 9 {
		f.regs = append(f.regs, directory.Registration{ID: fmt.Sprint("t", i), Domain: "d", Slots: 8, StartedMs: 5})
	}
	f.update()
	return f
}

func (f *capacityFixture) update() {
	f.service.updateTargets(f.regs, nil, &routing.Engine{MemoryTokens: 100_000})
}

// report has three peers report the rates of all targets, for long enough to be used.
func (f *capacityFixture) report(rate func(i int) int) {
	for range 4 {
		f.now += capacityUpdateInterval
		for i, r := range f.regs {
			for _, peer := range []string{"a", "b", "c"} {
				f.service.applyCapacityReports(f.now, peer, []wire.TargetRate{
					{Target: r.ID, Born: r.StartedMs, PrefillTokensPerSecond: rate(i), Samples: 4},
				})
			}
		}
		f.service.setPeerLoads(exchangeInterval, nil)
	}
}

func (f *capacityFixture) rate(i int) float64 {
	at, _ := f.service.pool.Find(f.regs[i].ID)
	return f.service.pool.Target(at).PrefillTokensPerSecond
}

func unequalRate(i int) int {
	if i%3 == 0 {
		return 87_000
	}
	return 212_000
}

// Guards against an instance without answers of its own that places prompts as if all
// targets had the configured rate.
func TestPeersRatesOfUnequalTargetsAreUsed(t *testing.T) {
	is := is.New(t)
	f := newCapacityFixture()
	f.report(unequalRate)
	for i := range f.regs {
		is.Equal(f.rate(i), float64(unequalRate(i)))
	}
	is.True(f.service.capacities.weights["t1"] > 2*f.service.capacities.weights["t0"])
	f.update() // the pool is replaced
	is.Equal(f.rate(0), 87_000.0)
}

// Guards against changes in a deployment whose targets are alike.
func TestRatesOfSimilarTargetsAreNotUsed(t *testing.T) {
	is := is.New(t)
	f := newCapacityFixture()
	f.report(func(i int) int { return []int{100_000, 100_000, 130_000}[i%3] })
	for i := range f.regs {
		is.Equal(f.rate(i), 80_000.0)
	}
	is.Equal(f.service.capacities.weights, nil)
	is.Equal(f.service.capacityReports(), nil)
}

// Guards against a target that has restarted and gets requests by the rate of its previous
// process.
func TestRestartedTargetHasNoRate(t *testing.T) {
	is := is.New(t)
	f := newCapacityFixture()
	f.report(unequalRate)
	f.regs[0].StartedMs++
	f.update()
	_, known := f.service.capacities.table.Rate(f.now, f.regs[0].Incarnation())
	is.True(!known)
	is.Equal(f.rate(0), 212_000.0) // the median
}

// Guards against rates that stay in use after the targets were replaced by similar ones.
func TestRatesAreDroppedOnceTargetsAreSimilar(t *testing.T) {
	is := is.New(t)
	f := newCapacityFixture()
	f.report(unequalRate)
	for i := range f.regs {
		f.regs[i].StartedMs++
	}
	f.update()
	f.report(func(int) int { return 90_000 })
	is.Equal(f.service.capacities.weights, nil)
	is.Equal(f.rate(0), 80_000.0)
}

// Guards against an overload in which all targets seem slow, each by another factor: prompts that
// wait for slots tell nothing of a target's rate.
func TestRatesAreMeasuredAtQuietTargetsOnly(t *testing.T) {
	is := is.New(t)
	f := newCapacityFixture()
	answer := func(quiet bool, tokens int, after time.Duration) {
		pl := &enginePlacement{target: f.regs[0], isQuiet: quiet}
		pl.send.Request = &engineRequest{}
		pl.send.Request.Placement.PromptTokens = tokens
		pl.send.SentAt = f.now
		f.now += after
		f.service.mu.Lock()
		defer f.service.mu.Unlock()
		f.service.observeFirstToken(pl)
	}
	answer(true, 100, 40*time.Millisecond) // the latency
	for range 10 {
		answer(false, 4000, 2*time.Second)
	}
	is.Equal(len(f.service.capacityReports()), 0)
	for range 10 {
		answer(true, 4000, 90*time.Millisecond)
	}
	reports := f.service.capacityReports()
	is.Equal(len(reports), 1)
	is.True(reports[0].PrefillTokensPerSecond > 70_000 && reports[0].PrefillTokensPerSecond < 90_000)
}
