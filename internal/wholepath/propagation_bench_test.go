package wholepath

import (
	"fmt"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// pollInterval is the time between two checks whether a change is in force, and so
// the maximum error of the measurements.
const pollInterval = 2 * time.Millisecond

// measureTimeUntil records the time from the start of an action until a condition
// holds.
func (f *fleet) measureTimeUntil(histogram *hdrhistogram.Histogram, action func(), cond func() bool) {
	f.t.Helper()
	start := time.Now()
	action()
	for !cond() {
		if time.Since(start) > waitTimeout {
			f.t.Fatal("timed out waiting for a change to be in force")
		}
		time.Sleep(pollInterval)
	}
	_ = histogram.RecordValue(time.Since(start).Microseconds())
}

func allEntries(f *fleet, cond func(entry string) bool) bool {
	for _, e := range f.entries {
		if !cond(e) {
			return false
		}
	}
	return true
}

func reportMillis(b *testing.B, hist *hdrhistogram.Histogram) {
	b.ReportMetric(float64(hist.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(hist.Max())/1000, "max-ms")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkConfigurationInForce measures the time from the start of a publish,
// including the start of the operators' tool, until every instance has the change.
func BenchmarkConfigurationInForce(b *testing.B) {
	f := newFleet(b, fleetSpec{entries: 6, engines: 1})
	hist := hdrhistogram.New(1, 1e8, 3)
	rate := 10_000_000
	for b.Loop() {
		old := rate
		rate++
		f.measureTimeUntil(hist, func() {
			f.replaceAndPublish(fmt.Sprintf("tokens-per-second = %d", old), fmt.Sprintf("tokens-per-second = %d", rate))
		}, func() bool { return f.accountRateInForce(f.entries) == rate })
	}
	reportMillis(b, hist)
}

// BenchmarkWithdrawnKeyRefused measures the time from the start of the withdrawal of
// a key until every instance has refused a request with it.
func BenchmarkWithdrawnKeyRefused(b *testing.B) {
	const keys = 40
	accounts := map[string][2]int{}
	for i := range keys {
		accounts[fmt.Sprintf("account-%d", i)] = [2]int{1e7, 1e7}
	}
	f := newFleet(b, fleetSpec{entries: 6, engines: 1, accounts: accounts})
	hist := hdrhistogram.New(1, 1e8, 3)
	for i := 0; b.Loop(); i++ {
		if i == keys {
			b.Fatal("no unused key left; reduce -benchtime")
		}
		name := fmt.Sprintf("account-%d", i)
		f.measureTimeUntil(hist, func() { f.runTool("keys", "withdraw", "--as", "tester", name+"-key") }, func() bool {
			return allEntries(f, func(e string) bool { return f.refusesKey(e, name) })
		})
	}
	reportMillis(b, hist)
}

// BenchmarkLeavingTargetAvoided measures the time from when the platform learns that
// a target is leaving until no instance sends it new requests. It includes the one
// second by which the stand-in's list lags behind by default.
func BenchmarkLeavingTargetAvoided(b *testing.B) {
	f := newFleet(b, fleetSpec{entries: 6, engines: 2})
	hist := hdrhistogram.New(1, 1e8, 3)
	setState := func(state string) {
		f.setInstanceList(`{"instances":[{"id":"engine0","address":"` + f.addressOf("engine0") + `","domain":"north","role":"target","state":"` + state + `"}]}`)
	}
	for b.Loop() {
		f.measureTimeUntil(hist, func() { setState("leaving") }, func() bool {
			return allEntries(f, func(e string) bool { return f.excludesTarget(e, "engine0") })
		})
		setState("live")
		f.waitFor("the target is back", func() bool {
			return allEntries(f, func(e string) bool { return !f.excludesTarget(e, "engine0") })
		})
	}
	reportMillis(b, hist)
}

// excludesTarget reports whether an instance sends no new requests to a target.
func (f *fleet) excludesTarget(entry, target string) bool {
	s, _ := f.readAdminState(entry)
	for _, t := range s.Targets {
		if t.Name == target {
			return len(t.RejectedBy) > 0
		}
	}
	return false
}
