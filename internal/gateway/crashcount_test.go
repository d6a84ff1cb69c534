package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A request crashes each target that runs it, and its caller repeats it at any instance. It
// must be refused after the third crash, whichever instances saw them, before it crashes
// further targets. A request that was at a crashing target by coincidence must not be
// refused.
func TestRequestIsRefusedAfterThirdCrash(t *testing.T) {
	is := is.New(t)
	s := newCrashCounts()
	const crashing, coincidental = 1, 2
	for i := range maxCrashes {
		is.True(!s.isBlocked(time.Duration(i)*time.Second, crashing))
		s.add(time.Duration(i)*time.Second, crashing)
	}
	s.add(0, coincidental)
	is.True(s.isBlocked(3*time.Second, crashing))
	is.True(!s.isBlocked(3*time.Second, coincidental))
	is.True(!s.isBlocked(time.Hour, crashing)) // its crashes have expired
}

func TestCrashCountsAreBounded(t *testing.T) {
	is := is.New(t)
	s := newCrashCounts()
	for i := range maxTrackedRequests {
		s.add(0, uint64(i))
	}
	s.add(2*crashRetention, 1)
	is.True(len(s.byRequest) < maxTrackedRequests)
}
