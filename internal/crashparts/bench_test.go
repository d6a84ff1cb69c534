package crashparts

import (
	"testing"
	"time"
)

// fullTracker returns a tracker with all crashes, parts and blocks that it can hold.
func fullTracker() *Tracker {
	t := New()
	for i := range maxBlocks * MinCrashes {
		t.Lost(time.Duration(i)*150*time.Millisecond, Target(i), []Part{Part(1 + i/MinCrashes)})
	}
	for i := range maxCrashes {
		parts := make([]Part, maxPartsPerCrash)
		for j := range parts {
			parts[j] = Part(1e6 + 1000*i + j)
		}
		t.Lost(time.Minute+time.Duration(i)*time.Millisecond, Target(1000+i), parts)
	}
	for i := range 2 * maxSound {
		t.Answered([]Part{Part(1e9 + i)}, time.Minute)
	}
	return t
}

func BenchmarkCrash(b *testing.B) {
	t := fullTracker()
	b.ResetTimer()
	for i := range b.N {
		t.Lost(time.Minute+time.Second, Target(1e6+i), []Part{1e9, 1e9 + 1})
	}
}

// All crashes have as many parts as possible, none of them in common.
func BenchmarkCrashOfManyParts(b *testing.B) {
	t := fullTracker()
	b.ResetTimer()
	for i := range b.N {
		parts := make([]Part, maxPartsPerCrash)
		for j := range parts {
			parts[j] = Part(1e12 + 1000*i + j)
		}
		t.Lost(time.Minute+time.Duration(i)*time.Millisecond, Target(1e6+i), parts)
	}
}

func BenchmarkCheckAndAnswer(b *testing.B) {
	t := fullTracker()
	parts := []Part{1e9, 1e9 + 1, 1e9 + 2}
	b.ResetTimer()
	for i := range b.N {
		t.Check(time.Minute, parts, never)
		t.Answered(parts, time.Minute+time.Duration(i))
	}
}
