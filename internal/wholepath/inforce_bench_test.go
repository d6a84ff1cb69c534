package wholepath

import (
	"fmt"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// inForceLook is the time between two looks at whether a change is in force,
// and so the error of the measures.
const inForceLook = 2 * time.Millisecond

// untilInForce measures the time from a change until a condition holds.
func (f *fleet) untilInForce(into *hdrhistogram.Histogram, change func(), inForce func() bool) {
	f.t.Helper()
	began := time.Now()
	change()
	for !inForce() {
		if time.Since(began) > patience {
			f.t.Fatal("gave up waiting for a change")
		}
		time.Sleep(inForceLook)
	}
	_ = into.RecordValue(time.Since(began).Microseconds())
}

func everyEntry(f *fleet, cond func(entry string) bool) bool {
	for _, e := range f.entries {
		if !cond(e) {
			return false
		}
	}
	return true
}

func reportMillis(b *testing.B, h *hdrhistogram.Histogram) {
	b.ReportMetric(float64(h.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(h.Max())/1000, "max-ms")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkConfigurationInForce is the time from the start of a publish, with
// the start of the operator's tool, until every instance has the change.
func BenchmarkConfigurationInForce(b *testing.B) {
	f := newFleet(b, shape{entries: 6, engines: 1})
	h := hdrhistogram.New(1, 1e8, 3)
	rate := 10_000_000
	for b.Loop() {
		old := rate
		rate++
		f.untilInForce(h, func() {
			f.republish(fmt.Sprintf("tokens-per-second = %d", old), fmt.Sprintf("tokens-per-second = %d", rate))
		}, func() bool { return f.rateInForce(f.entries) == rate })
	}
	reportMillis(b, h)
}

// BenchmarkWithdrawnKeyRefused is the time from the start of a withdrawal until
// every instance has refused a request with the key.
func BenchmarkWithdrawnKeyRefused(b *testing.B) {
	const keys = 40
	accounts := map[string][2]int{}
	for i := range keys {
		accounts[fmt.Sprintf("account-%d", i)] = [2]int{1e7, 1e7}
	}
	f := newFleet(b, shape{entries: 6, engines: 1, accounts: accounts})
	h := hdrhistogram.New(1, 1e8, 3)
	for i := 0; b.Loop(); i++ {
		if i == keys {
			b.Fatal("no key left; give fewer iterations")
		}
		name := fmt.Sprintf("account-%d", i)
		f.untilInForce(h, func() { f.tool("keys", "withdraw", "--as", "tester", name+"-key") }, func() bool {
			return everyEntry(f, func(e string) bool { return f.refusesKey(e, name) })
		})
	}
	reportMillis(b, h)
}

// BenchmarkLeavingTargetAvoided is the time from when the platform is told that
// a target leaves until no instance sends it new work. The list shows a change
// one second late, as its stand-in does by default.
func BenchmarkLeavingTargetAvoided(b *testing.B) {
	f := newFleet(b, shape{entries: 6, engines: 2})
	h := hdrhistogram.New(1, 1e8, 3)
	say := func(state string) {
		f.list(`{"instances":[{"id":"engine0","address":"` + f.addr("engine0") + `","domain":"north","role":"target","state":"` + state + `"}]}`)
	}
	for b.Loop() {
		f.untilInForce(h, func() { say("leaving") }, func() bool {
			return everyEntry(f, func(e string) bool { return f.rejects(e, "engine0") })
		})
		say("live")
		f.wait("the target is back", func() bool {
			return everyEntry(f, func(e string) bool { return !f.rejects(e, "engine0") })
		})
	}
	reportMillis(b, h)
}

// rejects reports whether an instance sends no new work to a target.
func (f *fleet) rejects(entry, target string) bool {
	s, _ := f.state(entry)
	for _, t := range s.Targets {
		if t.Name == target {
			return len(t.RejectedBy) > 0
		}
	}
	return false
}
