package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/directory"
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
		s.add(time.Duration(i)*time.Second, crash{crashing, uint64(i)})
	}
	s.add(0, crash{coincidental, 1})
	is.True(s.isBlocked(3*time.Second, crashing))
	is.True(!s.isBlocked(3*time.Second, coincidental))
	is.True(!s.isBlocked(time.Hour, crashing)) // its crashes have expired
}

func TestCrashCountsAreBounded(t *testing.T) {
	is := is.New(t)
	s := newCrashCounts()
	for i := range maxTrackedRequests {
		s.add(0, crash{uint64(i), 1})
	}
	s.add(2*crashRetention, crash{1, 1})
	is.True(len(s.byRequest) < maxTrackedRequests)
}

// Guards against many equal requests that are all refused because one target that held several of them
// has ended, and against crashes that count after they have expired.
func TestOneTargetCountsOnce(t *testing.T) {
	is := is.New(t)
	s := newCrashCounts()
	const requests = 1
	first := crashOf(requests, directory.Incarnation{ID: "a", StartedMs: 1})
	for range 2 * maxCrashes {
		n, _ := s.add(0, first)
		is.Equal(n, 1)
	}
	is.True(!s.isBlocked(0, requests))
	for i := range maxCrashes - 1 {
		_, isNew := s.add(0, crashOf(requests, directory.Incarnation{ID: "a", StartedMs: int64(2 + i)}))
		is.True(isNew)
	}
	is.True(s.isBlocked(0, requests))
	n, _ := s.add(crashRetention+1, first)
	is.Equal(n, 1)
}
