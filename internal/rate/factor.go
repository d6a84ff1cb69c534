package rate

import (
	"math"
	"time"

	"github.com/mastictray/mastictray/internal/lease"
)

// factor is how much more (above 1) or less of an account this instance mints
// than its slots' equal part.
type factor struct {
	value  float64
	next   float64
	nextAt time.Duration // when next is put into force; never if it is not
}

func (f *factor) due(now time.Duration) bool { return f.nextAt <= now }

// set lowers the factor at once. A higher one waits until grants are gone that
// the domain which gave the part up has sent before.
func (f *factor) set(value float64, later time.Duration) {
	switch {
	case value <= f.value:
		f.value, f.nextAt = value, never
	case f.nextAt == never || f.next != value:
		f.next, f.nextAt = value, later
	}
}

// SetFactors puts the split over the domains into force, by account; accounts
// not named have factor 1. Call it whenever Fold.SplitVersion changed, before
// the next record is appended: the next renewal says that it was done.
func (l *Limiter) SetFactors(now time.Duration, factors map[string]float64) {
	l.settle(now)
	l.factors = factors
	for _, a := range l.accounts {
		l.advance(a, now)
		a.factor.set(l.factorOf(a.name), now+l.settings.startDelay())
		a.bucket.share = l.share * a.factor.value
		a.bucket.clamp()
	}
}

func (l *Limiter) factorOf(account string) float64 {
	if f, ok := l.factors[account]; ok {
		return f
	}
	return 1
}

// FactorsOf are the factors of a domain, one of the given number, from the
// split that the log shows.
func FactorsOf(f *lease.Table, domain string, domains int) map[string]float64 {
	factors := map[string]float64{}
	equal := 1 / float64(domains)
	for _, account := range f.SplitAccounts() {
		factors[account] = f.Share(account, domain, equal) / equal
	}
	return factors
}

// demandSpan is over how long demand is averaged.
const demandSpan = time.Minute

// demand is a moving average of what callers asked for.
type demand struct {
	perSecond float64
	at        time.Duration
}

// rate is the demand in tokens per second.
func (d *demand) rate(now time.Duration) float64 {
	if now <= d.at {
		return d.perSecond
	}
	return d.perSecond * math.Exp(-(now-d.at).Seconds()/demandSpan.Seconds())
}

func (d *demand) add(now time.Duration, cost float64) {
	d.perSecond = d.rate(now) + cost/demandSpan.Seconds()
	d.at = now
}
