package experiment

import (
	"math"
	"time"

	"github.com/mastictray/mastictray/internal/ratelease"
)

const (
	// rateHeadroom is an account's rate as a multiple of what it offers when
	// it is not noisy, and burstSeconds its burst as time of that rate.
	rateHeadroom = 1.3
	burstSeconds = 10
)

// admission is the product's rate limiter before the queues, as one bucket for
// the whole fleet.
type admission struct {
	f       *fleet
	limiter *ratelease.Limiter
}

// newAdmission gives every account a rate above its usual demand; nil when the
// case has no limits.
func newAdmission(f *fleet, calls []*call) *admission {
	if !f.c.Limited || len(calls) == 0 {
		return nil
	}
	tokens := 0.0
	for _, c := range calls {
		tokens += float64(c.tokens)
	}
	perCall := tokens / float64(len(calls))
	a := &admission{f: f, limiter: ratelease.New(ratelease.DefaultSettings("experiment"))}
	for _, acc := range f.w.Accounts {
		r := rateHeadroom * f.w.Rate * acc.Share * perCall
		a.limiter.SetAccount(0, acc.Name, r, r*burstSeconds)
	}
	whole := ratelease.Allocation{Name: "all", StartFull: true, Fraction: 1, Since: -time.Second, Until: math.MaxInt64}
	a.limiter.SetAllocations(0, []ratelease.Allocation{whole})
	return a
}

// allows debits a call, or says that its account is over its rate.
func (a *admission) allows(c *call) bool {
	if a == nil {
		return true
	}
	now := a.f.clock.now
	o := a.limiter.Admit(now, a.f.w.Accounts[c.account].Name, float64(c.tokens), now)
	if o.Waiting {
		a.limiter.Cancel(a.f.w.Accounts[c.account].Name, o.Ticket)
		return false
	}
	return o.Err == nil
}
