package experiment

import (
	"math"
	"time"

	"github.com/mastictray/mastictray/internal/ratelease"
)

const (
	// rateHeadroom is the rate of an account as a multiple of its demand when it
	// is not noisy.
	rateHeadroom = 1.3
	// burstSeconds is the burst of an account in seconds of its rate.
	burstSeconds = 10
)

// admission is the product's rate limiter before the queues. It has one token bucket
// per account for all routers together.
type admission struct {
	sim     *simulation
	limiter *ratelease.Limiter
}

// newAdmission sets the rate of each account above its usual demand. It returns nil
// if the case has no rate limits.
func newAdmission(sim *simulation, requests []*request) *admission {
	if !sim.testCase.RateLimited || len(requests) == 0 {
		return nil
	}
	tokens := 0.0
	for _, req := range requests {
		tokens += float64(req.tokens)
	}
	tokensPerRequest := tokens / float64(len(requests))
	a := &admission{sim: sim, limiter: ratelease.New(ratelease.DefaultSettings("experiment"))}
	for _, account := range sim.workload.Accounts {
		accountRate := rateHeadroom * sim.workload.RequestRate * account.Share * tokensPerRequest
		a.limiter.SetAccount(0, account.Name, accountRate, accountRate*burstSeconds)
	}
	allocation := ratelease.Allocation{Name: "all", StartFull: true, Fraction: 1, Since: -time.Second, Until: math.MaxInt64}
	a.limiter.SetAllocations(0, []ratelease.Allocation{allocation})
	return a
}

// admit charges the request to its account. It returns false if the account is over
// its rate. A nil admission admits everything.
func (a *admission) admit(req *request) bool {
	if a == nil {
		return true
	}
	now := a.sim.clock.now
	outcome := a.limiter.Admit(now, a.sim.workload.Accounts[req.account].Name, float64(req.tokens), now)
	if outcome.Waiting {
		a.limiter.Cancel(a.sim.workload.Accounts[req.account].Name, outcome.Ticket)
		return false
	}
	return outcome.Err == nil
}
