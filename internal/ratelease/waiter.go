package ratelease

import (
	"slices"
	"time"
)

// waiter is a request that waits for tokens.
type waiter struct {
	ticket Ticket
	cost   float64
	since  time.Duration
	// until is the end of the wait, deadline that of the request.
	until    time.Duration
	deadline time.Duration
}

func (w waiter) waited(now time.Duration) time.Duration { return now - w.since }

// Ready is the result of a Tick.
type Ready struct {
	// TokenRequests are token requests to send now.
	TokenRequests []TokenRequest
	// Returns are one-way messages to send now.
	Returns []Return
	// Done are the decisions on waiting requests.
	Done []Outcome
	// NextTick is when to call Tick again unless something else happens first; 0
	// if no request waits.
	NextTick time.Duration
}

// Tick decides on waiting requests and requests missing tokens from peers. Call it
// after Admit returned Waiting, after each grant, and at Ready.NextTick.
func (l *Limiter) Tick(now time.Duration) Ready {
	l.advanceShare(now)
	l.expireTokenRequests(now)
	r := Ready{}
	batch := newTokenRequestBatch()
	for _, a := range l.active {
		l.advance(a, now)
		r.Done = l.decideWaiters(a, now, r.Done)
		l.planTokenRequests(a, now, batch)
		if len(a.waiters) > 0 {
			next := now + l.settings.TokenRequestInterval
			next = min(next, l.waitEnd(a, a.waiters[0]))
			if r.NextTick == 0 || next < r.NextTick {
				r.NextTick = next
			}
		}
	}
	l.deactivateIdle(now)
	r.TokenRequests = l.buildTokenRequests(now, batch)
	r.Returns, l.returns = l.returns, nil
	return r
}

// deactivateIdle removes accounts that need no Tick from the active list: an
// instance knows all accounts of the fleet but gets requests of few.
func (l *Limiter) deactivateIdle(now time.Duration) {
	l.active = slices.DeleteFunc(l.active, func(a *account) bool {
		a.active = len(a.waiters) > 0 || len(a.bucket.credits) > 0 || now-a.lastRequestAt <= prefetchActiveWindow
		return !a.active
	})
}

// Cancel removes a waiting request, for example one whose caller has left.
func (l *Limiter) Cancel(name string, t Ticket) {
	a := l.accounts[name]
	if a == nil {
		return
	}
	for i, w := range a.waiters {
		if w.ticket == t {
			a.waiters = append(a.waiters[:i], a.waiters[i+1:]...)
			return
		}
	}
}

// decideWaiters decides in order of arrival, so that small requests do not
// starve a large one.
func (l *Limiter) decideWaiters(a *account, now time.Duration, done []Outcome) []Outcome {
	kept := a.waiters[:0]
	for _, w := range a.waiters {
		switch {
		case w.cost > a.bucket.burst:
			done = append(done, Outcome{Ticket: w.ticket, Err: ErrTooLarge})
		case len(kept) == 0 && a.bucket.available() >= w.cost:
			done = append(done, Outcome{Ticket: w.ticket, Reservation: l.debit(a, now, w.cost)})
		case now >= l.waitEnd(a, w) || l.unsatisfiable(a, now, w, kept):
			done = append(done, Outcome{Ticket: w.ticket, Err: ErrOverRate, RetryAfter: l.retryAfter(a, w.cost)})
		default:
			kept = append(kept, w)
		}
	}
	a.waiters = kept
	return done
}

// waitEnd returns the time at which a request is refused if it has not been admitted.
func (l *Limiter) waitEnd(a *account, w waiter) time.Duration {
	if !l.awaitsPeers(a) {
		return w.until
	}
	return max(w.until, min(w.deadline, a.createdAt+l.settings.StartWait))
}

// awaitsPeers reports whether there are peers, and none has reported its tokens yet.
func (l *Limiter) awaitsPeers(a *account) bool { return len(l.peers) > 0 && len(a.peerHints) == 0 }

// unsatisfiable reports whether a request is expected to time out: all peers
// have just answered, and even with all their tokens and all that is refilled
// until its deadline it would not be admitted. It is then better refused at
// once.
func (l *Limiter) unsatisfiable(a *account, now time.Duration, w waiter, ahead []waiter) bool {
	if len(l.peers) == 0 || !l.hintsFresh(a, now) || l.awaitsPeers(a) && now < a.createdAt+l.settings.StartWait {
		return false
	}
	need := w.cost
	for _, o := range ahead {
		need += o.cost
	}
	return need > l.estimateFleetBalance(a, now)+a.bucket.rate*(w.until-now).Seconds()
}

// retryAfter returns the time in which the fleet refills the missing tokens.
func (l *Limiter) retryAfter(a *account, cost float64) time.Duration {
	for _, w := range a.waiters {
		cost += w.cost
	}
	missing := cost - l.estimateFleetBalance(a, a.bucket.updatedAt)
	if missing <= 0 || a.bucket.rate <= 0 {
		return l.settings.MaxWait
	}
	return time.Duration(missing / a.bucket.rate * float64(time.Second))
}
