package targetlimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/directory"
)

// deskTarget returns a target of a service other than testTarget.
func deskTarget(id string, startedMs int64) Target {
	return Target{Incarnation: directory.Incarnation{ID: id, StartedMs: startedMs}, Service: "desk", Slots: 4}
}

// Guards against a target that starts and gets any number of requests, because no answer has told
// yet that it bears as few rejections as the others of its service.
func TestNewTargetCountsAsLikeTheOthersOfItsService(t *testing.T) {
	is := is.New(t)
	first, second, third := deskTarget("one", 1), deskTarget("two", 1), deskTarget("one", 2)
	l := newSingleInstance()
	l.Observe(0, 0, first, Limit{Rejections: 2})
	peer := newSingleInstance()
	peer.ApplyReports(0, l.Reports())
	for _, x := range []*Limiter{l, peer} {
		limit, limited := x.MaxInFlight(0, second)
		is.True(limited)
		is.Equal(limit, second.Slots)
		other := second
		other.Service = "another"
		_, limited = x.MaxInFlight(0, other)
		is.True(limited) // no answer has told
		x.Observe(0, 0, other, Limit{})
		_, limited = x.MaxInFlight(0, other)
		is.True(!limited)
	}

	// One that has answered counts by its own answer.
	is.True(l.Observe(0, 0, second, Limit{}))
	_, limited := l.MaxInFlight(0, second)
	is.True(!limited)
	peer.ApplyReports(0, l.Reports())
	_, limited = peer.MaxInFlight(0, second)
	is.True(!limited)

	// The service is known after its last target has gone, until one of the next has answered.
	l.Retain(func(directory.Incarnation) bool { return false })
	_, limited = l.MaxInFlight(time.Second, third)
	is.True(limited)
	is.True(l.Observe(time.Second, time.Second, third, Limit{}))
	_, limited = l.MaxInFlight(time.Second, second)
	is.True(!limited)
}

// Guards against shares of a new target's slots that add up to more than it has, or that are not lent.
func TestNewTargetIsShared(t *testing.T) {
	is := is.New(t)
	f := newLoanFleet(20, 4)
	joined, sum := deskTarget("joined", 1), 0
	for _, l := range f.limiters {
		limit, limited := l.MaxInFlight(0, joined)
		is.True(limited)
		sum += limit
		if limit > 0 {
			is.True(l.Lend(0, joined, 0, "borrower", 1))
			limit, _ = l.MaxInFlight(0, joined)
			is.Equal(limit, 0)
			continue
		}
		is.Equal(len(l.Lenders(0, joined)), 4)
		l.Borrow(0, joined, "lender", 1)
		limit, _ = l.MaxInFlight(0, joined)
		is.Equal(limit, 1)
		is.Equal(len(l.TakeUnusedLoans(0, joined, 0)), 1)
	}
	is.Equal(sum, joined.Slots)
}

// Guards against an instance that has just started and sends as many requests as it has, because no
// answer has told it yet how few rejections targets can bear.
func TestNewInstanceIsBoundedUntilTheServiceIsKnown(t *testing.T) {
	const start = time.Minute
	names := []string{"a", "b", "c", "d"}
	target := deskTarget("one", 1)
	newInstance := func() *Limiter {
		l := New(start, "a")
		l.SetFleet(start, names, true)
		l.AddService(start, target.Service)
		return l
	}
	experienced := newSingleInstance()
	experienced.Observe(0, 0, target, Limit{})
	fragile := newSingleInstance()
	fragile.Observe(0, 0, target, Limit{Rejections: 2})
	const anyNumber = -1
	for name, c := range map[string]struct {
		learn func(l *Limiter)
		after time.Duration
		limit int // of the requests in flight
	}{
		"nothing is known":      {learn: func(*Limiter) {}, limit: 1},
		"nothing for long":      {learn: func(*Limiter) {}, after: unknownTimeout + 1, limit: anyNumber},
		"its own answer":        {learn: func(l *Limiter) { l.Observe(start, start, target, Limit{}) }, limit: anyNumber},
		"another target's":      {learn: func(l *Limiter) { l.Observe(start, start, deskTarget("two", 1), Limit{}) }, limit: anyNumber},
		"its own, with a bound": {learn: func(l *Limiter) { l.Observe(start, start, target, Limit{Rejections: 2}) }, after: time.Hour, limit: 1},
		"a peer knows of none": {learn: func(l *Limiter) {
			l.ApplyServiceBounds(start, experienced.ServiceBounds(start, l.UnknownServices(start)))
		}, limit: anyNumber},
		"a peer knows the bound": {learn: func(l *Limiter) { l.ApplyServiceBounds(start, fragile.ServiceBounds(start, l.UnknownServices(start))) }, after: time.Hour, limit: 1},
		"a peer's report":        {learn: func(l *Limiter) { l.ApplyReports(start, fragile.Reports()) }, after: time.Hour, limit: 1},
		"a peer is as new": {learn: func(l *Limiter) {
			l.ApplyServiceBounds(start, newInstance().ServiceBounds(start, l.UnknownServices(start)))
		}, limit: 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := newInstance()
			c.learn(l)
			limit, limited := l.MaxInFlight(start+c.after, target)
			is.Equal(limited, c.limit != anyNumber)
			if limited {
				is.Equal(limit, c.limit)
			}
			if unbounded := newSingleInstance(); !limited {
				unbounded.Observe(0, 0, target, Limit{})
				is.True(unbounded.Lend(0, target, 9, "a", 1)) // a borrower that doesn't know yet
			}
		})
	}
}

// Guards against a peer's older knowledge that overrides an instance's own.
func TestPeersBoundIsTakenOnlyForUnknownServices(t *testing.T) {
	is := is.New(t)
	target := deskTarget("one", 1)
	l := newSingleInstance()
	l.Observe(0, 0, target, Limit{Rejections: 2})
	is.Equal(len(l.UnknownServices(0)), 0)
	l.ApplyServiceBounds(0, []ServiceBound{{Service: target.Service}})
	_, limited := l.MaxInFlight(0, deskTarget("two", 1))
	is.True(limited)
}

// Guards against instances with different views of the fleet whose shares of a target's slots add up to
// more than it has: one that joins or restarts has its share before the others have given it up.
func TestSharesOfDifferentViewsDoNotAddUpToMore(t *testing.T) {
	const slots, settled = 12, time.Minute
	target := deskTarget("one", 1)
	target.Slots = slots
	names := func(n int) (out []string) {
		for i := range n {
			out = append(out, fmt.Sprintf("i%02d", i))
		}
		return out
	}
	for name, c := range map[string]struct {
		before, after int
		started       bool // the last instance is a new process
	}{
		"one joins":      {before: 5, after: 6, started: true},
		"one is removed": {before: 6, after: 5},
		"many joined":    {before: 20, after: 40, started: true},
		"half are gone":  {before: 40, after: 20},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			rng := rand.New(rand.NewPCG(1, 1))
			limiters, learnsAt := map[string]*Limiter{}, map[string]time.Duration{}
			for i, instance := range names(max(c.before, c.after)) {
				start, learns := time.Duration(0), settled+time.Duration(rng.Int64N(int64(takeoverDelay)))
				if c.started && i >= c.before {
					start, learns = settled, settled
				}
				l := New(start, instance)
				l.ApplyReports(start, []Report{{Target: target.Incarnation, Service: target.Service, Limit: Limit{Rejections: 2}, Revision: 1}})
				if start == 0 {
					l.SetFleet(0, names(c.before), true)
				} else {
					l.ApplyServiceBounds(start, []ServiceBound{{Service: target.Service, Rejections: 2, Settled: true}})
				}
				limiters[instance], learnsAt[instance] = l, learns
			}
			sum := func(now time.Duration) (n int) {
				for _, l := range limiters {
					limit, _ := l.MaxInFlight(now, target)
					n += limit
				}
				return n
			}
			is.Equal(sum(settled-ms), slots)
			now := settled
			for ; now < settled+2*takeoverDelay; now += ms {
				for instance, l := range limiters {
					if now >= learnsAt[instance] {
						l.SetFleet(now, names(c.after), true)
					}
				}
				is.True(sum(now) <= slots)
			}
			if c.after > c.before {
				is.Equal(sum(now), slots)
			}
		})
	}
}

// Guards against shares of an unknown service's targets that add up to more than their slots, or to less,
// so that slots are idle.
func TestSharesOfUnknownServiceAddUpToTheSlots(t *testing.T) {
	is := is.New(t)
	for _, instances := range []int{1, 3, 20} {
		var names []string
		for i := range instances {
			names = append(names, fmt.Sprintf("i%02d", i))
		}
		for i := range 30 {
			target, sum, holders := deskTarget(fmt.Sprintf("t%d", i), 1), 0, map[string]bool{}
			for _, name := range names {
				l := New(0, name)
				l.SetFleet(0, names, true)
				limit, limited := l.MaxInFlight(0, target)
				is.True(limited)
				l.ApplyServiceBounds(0, []ServiceBound{{Service: target.Service}})
				l.Retain(func(directory.Incarnation) bool { return true })
				is.Equal(len(l.targets), 0) // a large service has thousands
				sum += limit
				if limit > 0 {
					holders[name] = true
				}
			}
			is.Equal(sum, target.Slots)
			l := New(0, "other")
			l.SetFleet(0, names, true)
			for _, lender := range l.Lenders(0, target) {
				is.True(holders[lender])
			}
		}
	}
}

// Guards against a fleet that starts as a whole and sends nothing to targets that bear few rejections for
// a while, as each instance takes the others for earlier ones.
func TestFleetThatStartsHasItsShares(t *testing.T) {
	is := is.New(t)
	names, sum := []string{"a", "b", "c"}, 0
	target := deskTarget("one", 1)
	var limiters []*Limiter
	for _, name := range names {
		l := New(0, name)
		l.SetFleet(0, names, true)
		l.Observe(0, 0, target, Limit{Rejections: 2})
		limiters = append(limiters, l)
	}
	for _, l := range limiters {
		for _, peer := range limiters {
			l.ApplyServiceBounds(ms, peer.ServiceBounds(ms, l.UnknownServices(ms)))
		}
		limit, _ := l.MaxInFlight(ms, target)
		sum += limit
	}
	is.Equal(sum, target.Slots)
}
