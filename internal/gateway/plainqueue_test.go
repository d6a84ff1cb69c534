package gateway

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/directory"
	"github.com/mastictray/mastictray/internal/overload"
	"github.com/mastictray/mastictray/internal/placement"
	"github.com/mastictray/mastictray/internal/plainqueue"
	"github.com/mastictray/mastictray/internal/wire"
)

// plainFixture is a plain service with three targets of six slots in a fleet of the given size.
type plainFixture struct {
	*plainService
	clock atomic.Int64
}

func newPlainFixture(instances int) *plainFixture {
	f := &plainFixture{}
	now := func() time.Duration { return time.Duration(f.clock.Load()) }
	limits := newTargetLimits(now, "i00")
	names := make([]string, instances)
	for i := range names {
		names[i] = fmt.Sprintf("i%02d", i)
	}
	limits.setFleet(names, true)
	learnBounds(limits)
	f.plainService = newPlainService(now, "desk", "a", limits, newDomainReach(now), &plainLoads{now: now, limits: limits})
	var targets []directory.Registration
	for i, domain := range []string{"a", "b", "b"} {
		targets = append(targets, directory.Registration{ID: fmt.Sprintf("t%d", i), Service: "desk", StartedMs: 1, Domain: domain, Slots: 6})
	}
	f.updateTargets(targets, nil)
	return f
}

// serve completes n requests at a target one after the other, each of which takes the given time.
func (f *plainFixture) serve(is *is.I, n int, took time.Duration, target string) {
	others := slices.DeleteFunc([]string{"t0", "t1", "t2"}, func(id string) bool { return id == target })
	for range n {
		c, ok := f.acquire(others, false, placement.SoftwareRequirement{})
		is.True(ok)
		f.clock.Add(int64(took))
		f.endAttempt(c, overload.Succeeded)
	}
}

// overloadFleet has peers report more arrivals than the targets can serve.
func (f *plainFixture) overloadFleet(is *is.I) {
	for i := range f.targets { // all three are known
		f.serve(is, 10, 15*time.Millisecond, f.targets[i].registration.ID)
	}
	f.recordRefusal(f.targets[0].registration.Incarnation(), 0)
	for i := range 20 {
		f.clock.Add(int64(10 * time.Millisecond))
		f.loads.apply(f.now(), wire.Identity{Instance: fmt.Sprintf("p%d", i), Domain: "b"}, map[string]int{"*desk": 100 * plainqueue.ReportedSeconds})
	}
}

func (f *plainFixture) waiting() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.queue.Len()
}

// Guards against a change for services that have a slot for each instance or more: nothing is
// published, nothing waits, and the target with the fewest own requests is chosen.
func TestPlainServiceLargerThanTheFleetIsUnchanged(t *testing.T) {
	is := is.New(t)
	f := newPlainFixture(18)
	f.overloadFleet(is)
	for i := range 60 {
		is.True(f.await(t.Context(), 0, 0, 120*time.Millisecond) == nil)
		c, ok := f.acquire(nil, false, placement.SoftwareRequirement{})
		is.True(ok)
		if i%3 == 0 {
			is.Equal(c.target.ID, "t0") // the own domain among equals
		}
	}
	for i := range f.targets {
		is.Equal(f.targets[i].inFlight, 20)
	}
	is.Equal(len(f.publishedLoads()), 0)
}

// Guards against an instance of a large fleet whose peers don't learn what it has in flight.
func TestSharedPlainServicePublishesItsLoad(t *testing.T) {
	is := is.New(t)
	f := newPlainFixture(76)
	is.Equal(len(f.publishedLoads()), 0)
	for range 2 {
		is.True(f.await(t.Context(), 0, 0, 120*time.Millisecond) == nil)
		_, ok := f.acquire(nil, false, placement.SoftwareRequirement{})
		is.True(ok)
	}
	published := f.publishedLoads()
	is.Equal(published["t0"]+published["t1"]+published["t2"], 2)
	is.Equal(published["*desk"], 20)
}

// Guards against requests that are sent although the targets can't serve the fleet's, and against
// a request that is sent although its caller has left, such as a booking.
func TestRequestsWaitWhileTheFleetIsOverloaded(t *testing.T) {
	is := is.New(t)
	f := newPlainFixture(76)
	f.overloadFleet(is)
	const objective = 120 * time.Millisecond
	var report *queueReport
	sent := 0
	for ; sent < 100; sent++ {
		if report = f.await(expired(t), 0, f.now()+time.Second, objective); report != nil {
			break
		}
	}
	is.True(sent < 100)
	is.True(report.verdict == plainqueue.Wait || report.verdict == plainqueue.RefuseFull)
	is.True(report.demand > report.capacity)
	is.Equal(f.waiting(), 0)
	report = f.await(t.Context(), 0, f.now()+time.Millisecond, objective)
	is.Equal(report.verdict, plainqueue.RefuseDeadline)
	is.True(report.retryAfter > 0)
	for i := range f.targets {
		is.Equal(f.targets[i].inFlight, 0)
	}
}

// Guards against requests that wait for good after the peers' counts have become too old, as in an
// instance that was frozen or is cut off.
func TestWaitingEndsOnceCountsOfPeersExpire(t *testing.T) {
	is := is.New(t)
	f := newPlainFixture(76)
	f.overloadFleet(is)
	granted := make(chan *queueReport)
	const callers = 6
	for range callers {
		go func() { granted <- f.await(t.Context(), 0, 0, time.Hour) }()
	}
	for deadline := time.Now().Add(5 * time.Second); f.waiting() == 0; time.Sleep(time.Millisecond) {
		is.True(time.Now().Before(deadline))
	}
	f.clock.Add(int64(plainqueue.MaxAge + time.Second))
	for range callers {
		report := <-granted
		is.True(report == nil || report.verdict == plainqueue.Send)
	}
}

// expired returns a context that has ended.
func expired(t *testing.T) context.Context {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	return ctx
}
