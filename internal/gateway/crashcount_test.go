package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A request crashes each target that runs it, and its caller sends it again at
// any instance. After the third crash, wherever it was seen, it is refused and
// takes no further target along. One that shared a crash by chance runs on.
func TestRequestIsBarredAfterItsThirdCrash(t *testing.T) {
	is := is.New(t)
	s := newCrashCounts()
	const poison, bystander = 1, 2
	for i := range maxCrashes {
		is.True(!s.isBlocked(time.Duration(i)*time.Second, poison))
		s.add(time.Duration(i)*time.Second, poison)
	}
	s.add(0, bystander)
	is.True(s.isBlocked(3*time.Second, poison))
	is.True(!s.isBlocked(3*time.Second, bystander))
	is.True(!s.isBlocked(time.Hour, poison)) // it is tried again in the end
}

func TestStrikesAreBounded(t *testing.T) {
	is := is.New(t)
	s := newCrashCounts()
	for i := range maxTrackedRequests {
		s.add(0, uint64(i))
	}
	s.add(2*crashRetention, 1)
	is.True(len(s.byRequest) < maxTrackedRequests)
}
