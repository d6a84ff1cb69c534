package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/orderlease"
)

// Guards against a flood of lease reads during an outage of the store in a rollout.
// Each instance steps its rollout ten times a second; without a delay after a failed
// read, sixty instances would send six hundred calls a second to the recovering store,
// all of which count towards its rate limit.
func TestFailedLeaseReadIsDelayed(t *testing.T) {
	is := is.New(t)
	s := &sharedLease{lease: orderlease.New("a", orderlease.DefaultSettings())}
	is.True(s.readDue(0))
	s.handleReadFailure(0, 400*time.Millisecond)
	is.True(!s.readDue(300 * time.Millisecond))
	is.True(s.readDue(400 * time.Millisecond))
}

// Guards against a rollout that waits for the expiry of a lease whose holder
// disappeared long ago: callers would get old weights for 4.8 s more. An instance
// without a pending rollout reads the record in advance, in one call.
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
	_, _, due := p.lease.propose(later)
	is.True(due)
}
