package slopes

import (
	"runtime"
	"time"
)

// timingRuns is the number of times that each duration is measured. The minimum is
// used, since it is the one least disturbed by other processes.
const timingRuns = 15

// minNanosPerOp calls do, which runs n operations, timingRuns times and returns the
// minimum duration of an operation in nanoseconds.
func minNanosPerOp(n int, do func()) float64 {
	best := time.Duration(1 << 62)
	for range timingRuns {
		start := time.Now()
		do()
		best = min(best, time.Since(start))
	}
	return float64(best.Nanoseconds()) / float64(n)
}

// measureHeapBytes returns the live heap taken by the value that build returns.
func measureHeapBytes(build func() any) float64 {
	before := liveHeap()
	built := build()
	after := liveHeap()
	runtime.KeepAlive(built)
	return max(0, float64(after)-float64(before))
}

func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// measureSlope measures a cost at the given sizes and fits a line.
func measureSlope(name, x, y string, sizes []int, costAt func(n int) float64) Slope {
	s := Slope{Name: name, X: x, Y: y}
	for _, n := range sizes {
		s.Samples = append(s.Samples, Sample{X: float64(n), Y: costAt(n)})
	}
	s.Fit()
	return s
}
