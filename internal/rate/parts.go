package rate

import (
	"math"
	"time"

	"github.com/mastictray/mastictray/internal/lease"
)

// never is a time that does not come.
const never = time.Duration(math.MaxInt64)

// floorSuffix marks the floor's part of a slot.
const floorSuffix = "#floor"

// SetParts replaces the parts that this instance holds. Call it whenever a
// lease is renewed, won or given up.
func (l *Limiter) SetParts(now time.Duration, parts []Part) {
	l.settle(now)
	l.parts = append(l.parts[:0], parts...)
	l.switchShare(now)
}

// Share is the part of all rates that this instance mints at now.
func (l *Limiter) Share(now time.Duration) float64 {
	l.settle(now)
	return l.share
}

// settle accounts for parts that began or ended up to now. A process that was
// paused past the end of a lease finds its balances cut here, before it can
// spend anything on a right that another instance may hold by now.
func (l *Limiter) settle(now time.Duration) {
	for l.boundary <= now {
		l.switchShare(l.boundary)
	}
	l.at = max(l.at, now)
}

// switchShare puts the share at time t into force in every account.
func (l *Limiter) switchShare(t time.Duration) {
	share, next := 0.0, never
	for _, p := range l.parts {
		from := p.Since + l.settings.startDelay()
		if from <= t && t < p.Until {
			share += p.Fraction
		}
		for _, edge := range [...]time.Duration{from, p.Until} {
			if edge > t {
				next = min(next, edge)
			}
		}
	}
	l.boundary = next
	fresh := l.freshParts(t)
	if share == l.share {
		return
	}
	l.share = share
	for _, a := range l.accounts {
		l.advance(a, t)
		a.bucket.share = share * a.factor.value
		a.bucket.balance += fresh * a.factor.value * a.bucket.burst
		a.bucket.clamp()
	}
}

// freshParts is the sum of the parts that nobody held before and that begin to
// count at t, each once. Without their burst every account would be refused
// its bursts after the first start of a fleet, though it had spent nothing.
// It can be given because the log shows that nobody can have spent it.
func (l *Limiter) freshParts(t time.Duration) float64 {
	sum := 0.0
	for _, p := range l.parts {
		if p.Full && !l.filled[p.Name] && p.Since+l.settings.startDelay() <= t && t < p.Until {
			l.filled[p.Name] = true
			sum += p.Fraction
		}
	}
	return sum
}

// PartsOf turns mint leases into parts: each of the slots of the whole fleet
// is 1/slots of all rates, and floor of that (0 to 1) is the slot's floor.
func PartsOf(grants []lease.Grant, slots int, floor float64) []Part {
	var parts []Part
	for _, g := range grants {
		if g.Resource.Domain() == "" {
			continue
		}
		slot := 1 / float64(slots)
		name := string(g.Resource)
		parts = append(parts, Part{Name: name, Full: g.FirstHolder, Fraction: slot * (1 - floor), Since: g.Since, Until: g.Until})
		if g.FloorUntil > 0 {
			parts = append(parts, Part{Name: name + floorSuffix, Full: g.FirstHolder, Fraction: slot * floor, Since: g.FloorSince, Until: g.FloorUntil})
		}
	}
	return parts
}

// ShareOf is the part of all rates that a peer mints, as the log shows it. It
// only steers asks.
func ShareOf(f *lease.Table, peer string, slots int) float64 {
	n := 0
	f.EachHeld(func(r lease.Resource, s lease.State) {
		if s.Holder == peer && r.Domain() != "" {
			n++
		}
	})
	return float64(n) / float64(slots)
}
