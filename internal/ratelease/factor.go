package ratelease

import (
	"math"
	"time"

	"github.com/mastictray/mastictray/internal/lease"
)

// shareFactor is the ratio of what this instance issues of one account to the
// equal split; it is above 1 if the account's split favors this domain.
type shareFactor struct {
	value  float64
	next   float64
	nextAt time.Duration // when next takes effect; never if no change is pending
}

func (f *shareFactor) changeDue(now time.Duration) bool { return f.nextAt <= now }

// set lowers the factor at once. A higher one takes effect at effectiveAt, when
// the grants that the other domains sent from the same fraction have expired.
func (f *shareFactor) set(value float64, effectiveAt time.Duration) {
	switch {
	case value <= f.value:
		f.value, f.nextAt = value, never
	case f.nextAt == never || f.next != value:
		f.next, f.nextAt = value, effectiveAt
	}
}

// SetFactors applies the split over the domains, by account; accounts that are
// not listed have factor 1. Call it whenever lease.Table.SplitVersion has
// changed, before the next record is appended: the next renewal states that the
// split has been applied.
func (l *Limiter) SetFactors(now time.Duration, factors map[string]float64) {
	l.advanceShare(now)
	l.factors = factors
	for _, a := range l.accounts {
		l.advance(a, now)
		a.factor.set(l.factorOf(a.name), now+l.settings.issueDelay())
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

// FactorsOf returns the factors of a domain according to the split in the log.
// domains is the number of domains.
func FactorsOf(f *lease.Table, domain string, domains int) map[string]float64 {
	factors := map[string]float64{}
	equal := 1 / float64(domains)
	for _, account := range f.SplitAccounts() {
		factors[account] = f.Share(account, domain, equal) / equal
	}
	return factors
}

// demandWindow is the time constant of the demand average.
const demandWindow = time.Minute

// demandAverage is an exponential moving average of the tokens requested per
// second.
type demandAverage struct {
	perSecond float64
	at        time.Duration
}

// rate returns the average at now, in tokens per second.
func (d *demandAverage) rate(now time.Duration) float64 {
	if now <= d.at {
		return d.perSecond
	}
	return d.perSecond * math.Exp(-(now-d.at).Seconds()/demandWindow.Seconds())
}

func (d *demandAverage) add(now time.Duration, cost float64) {
	d.perSecond = d.rate(now) + cost/demandWindow.Seconds()
	d.at = now
}
