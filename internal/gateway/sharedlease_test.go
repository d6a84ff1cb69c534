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
func TestFailedLeaseReadIsDelayed(t *testing.T) {
	is := is.New(t)
	s := &sharedLease{lease: orderlease.New("a", orderlease.DefaultSettings())}
	is.True(s.readDue(0))
	s.handleReadFailure(0, 400*time.Millisecond)
	is.True(!s.readDue(300 * time.Millisecond))
	is.True(s.readDue(400 * time.Millisecond))
}

// The holder of the last rollout is gone for good, in quiet times. A version is
// named, and its rollout must not wait for the end of a right that ended long
// ago: callers would have old weights for 4.8 s more. The instance has seen the
// record in time, by one call.
func TestIdleInstanceReadsLeaseOfGoneHolder(t *testing.T) {
	is := is.New(t)
	store := &memoryStore{newest: 2, targets: targetsOnVersions(2, 2), lease: orderlease.Record{Holder: "gone", Instance: "z", NextOffset: 7}}
	p := startTestGateway(store, "a")
	p.rolloutStep(t.Context())
	is.Equal(store.leaseReads, 0)
	p.rolloutIdleSince -= idleLeaseDelay
	for range 5 {
		p.rolloutStep(t.Context())
	}
	is.Equal(store.leaseReads, 1)
	later := p.clock.Now() + p.settings.LeaseGap + orderlease.DefaultSettings().TTL + time.Millisecond
	_, _, may := p.lease.propose(later)
	is.True(may)
}
