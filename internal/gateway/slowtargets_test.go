package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/overload"
	"github.com/mastictray/mastictray/internal/placement"
)

// send sends a prompt of 2,000 tokens to one of the service's targets.
func (f *capacityFixture) send(t *testing.T) *enginePlacement {
	t.Helper()
	pl, refusal := f.service.acquire(context.Background(), &engineRequest{Account: "a", Weight: 1, Placement: placement.Request{PromptTokens: 2000}})
	if pl == nil || refusal != nil {
		t.Fatal("not placed")
	}
	f.service.startAttempt(pl, func() {}, cancelPolicy{})
	return pl
}

// passedOver reports whether a target gets no new work because it is slow.
func (f *capacityFixture) passedOver(id string) bool {
	f.service.mu.Lock()
	defer f.service.mu.Unlock()
	f.now += slowCheckInterval
	f.service.refreshEligibility()
	i, _ := f.service.pool.Find(id)
	return f.service.pool.Target(i).Slow && f.service.pool.Rejected(i)
}

// Guards against new work for a target whose answers are overdue, until they arrive.
func TestTargetWithOverdueAnswerIsPassedOver(t *testing.T) {
	is := is.New(t)
	f := newCapacityFixture()
	f.report(unequalRate)
	pl := f.send(t)
	is.True(!f.passedOver(pl.target.ID))
	f.now += 400 * time.Millisecond
	is.True(f.passedOver(pl.target.ID))
	is.Equal(f.service.reportedSlowTargets(), []string{pl.target.ID})
	is.Equal(f.service.slowTargetCount(), 1)
	f.service.recordFirstToken(pl)
	is.True(!f.passedOver(pl.target.ID))
	is.Equal(len(f.service.reportedSlowTargets()), 0)
}

// Guards against a target that stays passed over after its late request was cancelled.
func TestTargetIsUsedAgainOnceItsRequestsEnd(t *testing.T) {
	is := is.New(t)
	f := newCapacityFixture()
	f.report(unequalRate)
	pl := f.send(t)
	f.now += 400 * time.Millisecond
	is.True(f.passedOver(pl.target.ID))
	f.service.endAttempt(pl, overload.Cancelled)
	is.True(!f.passedOver(pl.target.ID))
}

// Guards against an instance that was suspended for seconds and takes its targets for slow.
func TestSuspendedInstanceDoesNotPassTargetsOver(t *testing.T) {
	is := is.New(t)
	f := newCapacityFixture()
	f.report(unequalRate)
	pl := f.send(t)
	f.now += 3 * time.Second
	is.True(!f.passedOver(pl.target.ID))
	is.True(!f.passedOver(pl.target.ID))
	is.Equal(len(f.service.reportedSlowTargets()), 0)
}

// Guards against instances that send to a target which several others have found to be slow.
func TestTargetThatPeersReportAsSlowIsPassedOver(t *testing.T) {
	is := is.New(t)
	f := newCapacityFixture()
	f.report(unequalRate)
	f.service.setSlowReports(map[string]int{"t1": 2, "t2": 1})
	is.True(f.passedOver("t1"))
	is.True(!f.passedOver("t2"))
	f.service.setSlowReports(nil)
	is.True(!f.passedOver("t1"))
}

// Guards against changes in a deployment whose targets are alike.
func TestSimilarTargetsAreNotPassedOver(t *testing.T) {
	is := is.New(t)
	f := newCapacityFixture()
	pl := f.send(t)
	f.now += 400 * time.Millisecond
	f.service.setSlowReports(map[string]int{"t1": 8})
	is.True(!f.passedOver(pl.target.ID))
	is.True(!f.passedOver("t1"))
	is.Equal(len(f.service.reportedSlowTargets()), 0)
}
