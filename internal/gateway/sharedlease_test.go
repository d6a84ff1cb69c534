package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/orderlease"
)

// The store is away during a rollout, and each instance looks at the rollout
// ten times a second. A read of the lease that failed is not made again before
// its pause is over: sixty instances would else send the returning store six
// hundred calls a second, which all are counted.
func TestFailedReadOfTheLeaseWaits(t *testing.T) {
	is := is.New(t)
	s := &sharedLease{l: orderlease.New("a", orderlease.DefaultSettings())}
	is.True(s.readDue(0))
	s.unread(0, 400*time.Millisecond)
	is.True(!s.readDue(300 * time.Millisecond))
	is.True(s.readDue(400 * time.Millisecond))
}
