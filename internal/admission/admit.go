package admission

import "time"

// Request is a request that asks for admission.
type Request struct {
	Class
	Work Work
	// Fingerprint is the same for all repeats of a request.
	Fingerprint uint64
	// TimeLeft is the time until the request's deadline; 0 if it has none.
	TimeLeft time.Duration
	// Jitter is a random number from 0 to 1.
	Jitter float64
}

// Decision is the outcome of Admit.
type Decision struct {
	Admitted bool
	// Share is the fraction of the class's requests that is admitted.
	Share float64
	// Asked is the fleet's demand of the class for the resource that binds, if a report
	// names it, else that of its urgency's unnamed accounts.
	Asked float64
	// RetryAfter is when there will be room for the caller of a refused request.
	RetryAfter time.Duration
	// Returned is set if the caller had been refused and has come back when it was told
	// to, Early if it has come back before.
	Returned, Early bool
	// Promised is set if the refused caller goes ahead of new ones when it comes back.
	Promised bool
}

const (
	// minRetryAfter keeps refused callers from returning before the peers know of them.
	minRetryAfter = 400 * time.Millisecond
	// returnShare is the fraction of a class's room that is promised to callers that come
	// back.
	returnShare = 0.5
	// maxReturnDelay is the part of the time left that a refused caller can wait and still
	// be answered.
	maxReturnDelay = 1.0 / 3
	// defaultTimeLeft is the time left of a request without a deadline.
	defaultTimeLeft = 10 * time.Second
	// maxDebt is the number of requests that returning callers may be ahead of their
	// class's share.
	maxDebt = 4
)

// Admit decides on a request. While room is scarce it admits the fraction of each class
// that the fleet has room for. Callers that come back when they were told to go ahead of
// new ones; those that come back before are refused until then.
func (c *Controller) Admit(now time.Duration, r *Request) Decision {
	d := c.admit(now, r)
	d.Asked = c.askedBy(r.Class)
	return d
}

func (c *Controller) admit(now time.Duration, r *Request) Decision {
	r.Urgency = clampUrgency(r.Urgency)
	share := c.shareOf(r.Class)
	due, returned := c.returning.find(now, r.Fingerprint)
	if returned && now < due-returnTolerance && share < 1 {
		return Decision{Share: share, RetryAfter: due - now, Early: true, Promised: true}
	}
	d := c.localDemand(r.Class, r.Jitter)
	d.observe(now, r.Work)
	if returned {
		c.returning.remove(r.Fingerprint)
	}
	if share >= 1 {
		return Decision{Admitted: true, Share: 1, Returned: returned}
	}
	d.credit += share
	if d.credit >= 1 || returned && d.credit > -maxDebt {
		d.credit--
		return Decision{Admitted: true, Share: share, Returned: returned}
	}
	wait, promised := d.retryAfter(now, share, r)
	if promised {
		c.returning.add(now, r.Fingerprint, now+wait)
		if len(c.returning.unsent) < maxUnsentReturns {
			c.returning.unsent = append(c.returning.unsent, Return{r.Fingerprint, now + wait})
		}
	}
	return Decision{Share: share, RetryAfter: wait, Promised: promised, Returned: returned}
}

// TakeReturns returns the requests that were asked to come back since the last call, for the
// peers: callers that come back reach other instances.
func (c *Controller) TakeReturns() []Return {
	out := c.returning.unsent
	c.returning.unsent = nil
	return out
}

// AddReturn records a request that a peer has asked to come back.
func (c *Controller) AddReturn(now time.Duration, r Return) {
	c.returning.add(now, r.Fingerprint, r.Due)
}

// retryAfter returns when a refused caller should come back, and whether there will be
// room for it then. Each refused caller gets a later time, so that they don't come back
// together. If there is no room within the time that the caller can wait, the time is the
// latest that it can.
func (d *localDemand) retryAfter(now time.Duration, share float64, r *Request) (wait time.Duration, promised bool) {
	left := r.TimeLeft
	if left <= 0 {
		left = defaultTimeLeft
	}
	latest := time.Duration(maxReturnDelay * float64(left))
	_, perSecond := d.perSecond()
	interval := time.Duration(float64(time.Second) / max(returnShare*share*perSecond, minReturnRate))
	next := max(d.nextReturn, now+minRetryAfter) + time.Duration(r.Jitter*float64(interval))
	if next-now > latest {
		return max(minRetryAfter, time.Duration((1-retrySpread*r.Jitter)*float64(latest))), false
	}
	d.nextReturn = max(d.nextReturn, now+minRetryAfter) + interval
	return next - now, true
}

const (
	// minReturnRate bounds the interval between two callers that are asked to come back.
	minReturnRate = 0.05
	// retrySpread is the fraction of the latest time over which callers are spread for
	// whom there will be no room.
	retrySpread = 0.25
)

// localDemand returns the demand of a class and creates it if necessary.
func (c *Controller) localDemand(class Class, jitter float64) *localDemand {
	d := c.own[class]
	if d == nil {
		if len(c.own) >= maxClasses {
			class.Account = ""
			if d = c.own[class]; d != nil {
				return d
			}
		}
		d = &localDemand{credit: jitter}
		c.own[class] = d
	}
	return d
}

// maxClasses is the number of classes from which further ones are not told apart.
const maxClasses = 4096

// BeginWait and EndWait are called around the time for which an admitted request waits
// for a target.
func (c *Controller) BeginWait(r *Request) {
	d := c.localDemand(r.Class, r.Jitter)
	d.waiting, d.waiters = d.waiting.Add(r.Work), d.waiters+1
}

// EndWait is described at BeginWait.
func (c *Controller) EndWait(r *Request) {
	d := c.localDemand(r.Class, r.Jitter)
	d.waiting, d.waiters = d.waiting.Add(r.Work.scale(-1)), d.waiters-1
	if d.waiters <= 0 {
		d.waiting, d.waiters = Work{}, 0
	}
}
