package membership

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/mastictray/mastictray/internal/platform"
	"github.com/mastictray/mastictray/internal/wire"
)

// largeFleets adds fleet sizes that take longer to the cost test.
var largeFleets = flag.Bool("membership.large", false, "measure fleets of 512, 1024 and 2400 instances as well")

// The cost of membership per instance must not grow with the fleet, neither without
// changes nor with one restarting instance and one leaving target per second. Only
// one instance can read the list; the others learn of the leaving target from peers.
func TestCostPerInstanceIsConstant(t *testing.T) {
	sizes := []int{16, 64, 128, 256}
	if *largeFleets {
		sizes = append(sizes, 512, 1024, 2400)
	}
	var first float64
	for _, n := range sizes {
		f := newFleet(n, 4*n, 1)
		f.run(6 * time.Second)
		for _, o := range f.nodes[1:] {
			o.listUnavailable = true
		}
		f.countBytes = true
		f.run(3 * time.Second)
		idle := float64(f.byteCount) / float64(n) / 3
		f.byteCount, f.messageCount = 0, 0
		for i := range 5 {
			f.start(2+i, 2000+int64(i))
			f.markLeaving(fmt.Sprint("t", i))
			f.run(time.Second)
		}
		busy := float64(f.byteCount) / float64(n) / 5
		messages := float64(f.messageCount) / float64(n) / 5
		spread := f.measureSpread()
		if spread > time.Second {
			t.Fatalf("%d instances: a change took %v to reach all", n, spread)
		}
		t.Logf("instances=%d targets=%d bytes/s=%.0f with_changes=%.0f messages/s=%.1f spread=%v",
			n, 4*n, idle, busy, messages, spread)
		if first == 0 {
			first = idle
		}
		if idle > 1.5*first || busy > 1.5*first {
			t.Fatalf("%d instances: %.0f bytes/s idle, %.0f with changes; 16 instances: %.0f idle", n, idle, busy, first)
		}
	}
}

// measureSpread returns the time from when the only reader of the list knows of a leaving
// target until all instances know.
func (f *fleet) measureSpread() time.Duration {
	f.markLeaving("t9")
	for !f.nodes[0].view.Draining("t9") {
		f.run(tickInterval)
	}
	from := f.now
	for _, o := range f.nodes {
		for !o.view.Draining("t9") && f.now-from < time.Minute {
			f.run(tickInterval)
		}
	}
	return f.now - from
}

// BenchmarkInstanceSecond measures the CPU time of one instance for one simulated
// second, including the simulated network.
func BenchmarkInstanceSecond(b *testing.B) {
	for _, n := range []int{16, 64, 256, 1024} {
		b.Run(fmt.Sprint("instances=", n), func(b *testing.B) {
			f := newFleet(n, 4*n, 1)
			f.run(6 * time.Second)
			for _, o := range f.nodes {
				o.listUnavailable = true
			}
			b.ResetTimer()
			for range b.N {
				f.run(time.Second)
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/float64(n), "us/instance-second")
		})
	}
}

// BenchmarkViewMemory measures the memory of one view of a fleet.
func BenchmarkViewMemory(b *testing.B) {
	for _, n := range []int{300, 600, 1200, 2400} {
		b.Run(fmt.Sprint("instances=", n), func(b *testing.B) {
			for range b.N {
				before := heapBytes()
				v := newPopulatedView(n, 4*n)
				b.ReportMetric(float64(heapBytes()-before)/1024, "KiB/view")
				runtime.KeepAlive(v)
			}
		})
	}
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

func newPopulatedView(members, targets int) *View {
	v := New(Config{Self: wire.Identity{Instance: "self"}}, rand.New(rand.NewPCG(1, 1)))
	for i := range members {
		v.mergeMember(0, wire.MemberRecord{Generation: 1, Identity: wire.Identity{
			Instance: fmt.Sprint("entry-", i), Incarnation: fmt.Sprintf("%032d", i),
			Address: fmt.Sprintf("10.0.%d.%d:7000", i/256, i%256), Domain: "domain-a",
		}})
	}
	l := platform.InstanceList{AsOf: time.UnixMilli(5)}
	for i := range targets {
		l.Instances = append(l.Instances, platform.Instance{ID: fmt.Sprint("target-", i), Role: platform.RoleTarget})
		v.ObserveIncarnation(0, fmt.Sprint("target-", i), fmt.Sprintf("%032d", i))
	}
	v.HandleList(0, 0, l, 0)
	v.Ready()
	return v
}
