package ratelease

import (
	"math"
	"time"

	"github.com/mastictray/mastictray/internal/lease"
)

// never is later than any other time.
const never = time.Duration(math.MaxInt64)

// floorSuffix is appended to the name of a slot for the allocation of its floor;
// see AllocationsOf.
const floorSuffix = "#floor"

// SetAllocations replaces the allocations that this instance holds. Call it
// whenever a lease is renewed, acquired or given up.
func (l *Limiter) SetAllocations(now time.Duration, held []Allocation) {
	l.advanceShare(now)
	l.allocations = append(l.allocations[:0], held...)
	l.applyShare(now)
}

// Share returns the fraction of all rates that this instance issues at now.
func (l *Limiter) Share(now time.Duration) float64 {
	l.advanceShare(now)
	return l.share
}

// advanceShare applies the starts and ends of allocations up to now. If the
// process was suspended past the end of a lease, its balances are cut here
// before it can spend tokens that another instance may issue by now.
func (l *Limiter) advanceShare(now time.Duration) {
	for l.nextShareChange <= now {
		l.applyShare(l.nextShareChange)
	}
	l.settledUntil = max(l.settledUntil, now)
}

// applyShare applies the share at time t to every account.
func (l *Limiter) applyShare(t time.Duration) {
	share, next := 0.0, never
	for _, alloc := range l.allocations {
		from := alloc.Since + l.settings.issueDelay()
		if from <= t && t < alloc.Until {
			share += alloc.Fraction
		}
		for _, boundary := range [...]time.Duration{from, alloc.Until} {
			if boundary > t {
				next = min(next, boundary)
			}
		}
	}
	l.nextShareChange = next
	initial := l.takeInitialFraction(t)
	if share == l.share {
		return
	}
	l.share = share
	for _, a := range l.accounts {
		l.advance(a, t)
		a.bucket.share = share * a.factor.value
		a.bucket.balance += initial * a.factor.value * a.bucket.burst
		a.bucket.clamp()
	}
}

// takeInitialFraction returns the sum of the allocations that were never held
// before and take effect at t, each only once. They start with their fraction of
// every burst; otherwise all bursts would be refused after the first start of a
// fleet. That is safe because the log shows that nobody can have spent it.
func (l *Limiter) takeInitialFraction(t time.Duration) float64 {
	sum := 0.0
	for _, alloc := range l.allocations {
		if alloc.StartFull && !l.initialBurstGiven[alloc.Name] && alloc.Since+l.settings.issueDelay() <= t && t < alloc.Until {
			l.initialBurstGiven[alloc.Name] = true
			sum += alloc.Fraction
		}
	}
	return sum
}

// AllocationsOf converts leases of slots into allocations. Each of the slots of
// the fleet is 1/slots of all rates, and floor (0 to 1) is the fraction of a slot
// that forms its floor. While the holder cannot renew the lease, it keeps the
// floor for longer than the rest of the slot.
func AllocationsOf(grants []lease.Grant, slots int, floor float64) []Allocation {
	var out []Allocation
	for _, g := range grants {
		if g.Resource.Domain() == "" {
			continue
		}
		slot := 1 / float64(slots)
		name := string(g.Resource)
		out = append(out, Allocation{Name: name, StartFull: g.FirstHolder, Fraction: slot * (1 - floor), Since: g.Since, Until: g.Until})
		if g.FloorUntil > 0 {
			out = append(out, Allocation{Name: name + floorSuffix, StartFull: g.FirstHolder, Fraction: slot * floor, Since: g.FloorSince, Until: g.FloorUntil})
		}
	}
	return out
}

// ShareOf returns the fraction of all rates that a peer issues according to the
// log. It is only used to choose the peers to request tokens from.
func ShareOf(f *lease.Table, peer string, slots int) float64 {
	n := 0
	f.EachHeld(func(r lease.Resource, s lease.State) {
		if s.Holder == peer && r.Domain() != "" {
			n++
		}
	})
	return float64(n) / float64(slots)
}
