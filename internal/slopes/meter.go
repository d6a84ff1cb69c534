package slopes

import (
	"runtime"
	"time"
)

// timeRuns is how often a time is measured; the least counts, as the one with
// the least disturbance by other processes.
const timeRuns = 15

// nanos is the least time of one call of do, given that it runs n operations.
func nanos(n int, do func()) float64 {
	best := time.Duration(1 << 62)
	for range timeRuns {
		start := time.Now()
		do()
		best = min(best, time.Since(start))
	}
	return float64(best.Nanoseconds()) / float64(n)
}

// heapBytes is the live heap that what build returns takes.
func heapBytes(build func() any) float64 {
	before := liveHeap()
	kept := build()
	after := liveHeap()
	runtime.KeepAlive(kept)
	return max(0, float64(after)-float64(before))
}

func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// measure fills a slope at the given sizes.
func measure(name, x, y string, sizes []int, at func(n int) float64) Slope {
	s := Slope{Name: name, X: x, Y: y}
	for _, n := range sizes {
		s.Samples = append(s.Samples, Sample{X: float64(n), Y: at(n)})
	}
	s.Fit()
	return s
}
