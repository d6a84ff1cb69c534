package rate

import (
	"slices"
	"time"
)

// waiter is a request that waits for tokens.
type waiter struct {
	ticket Ticket
	cost   float64
	since  time.Duration
	until  time.Duration
}

func (w waiter) waited(now time.Duration) time.Duration { return now - w.since }

// Ready is the work that a Tick found.
type Ready struct {
	// Asks are calls to make now.
	Asks []Ask
	// Returns are one-way messages to send now.
	Returns []Return
	// Done are the decisions on requests that waited.
	Done []Outcome
	// NextTick is when to call Tick again unless something happens before; 0
	// when nothing waits.
	NextTick time.Duration
}

// Tick decides on waiting requests and asks peers for missing tokens. Call it
// after Admit answered Waiting, after each grant, and at Ready.Next.
func (l *Limiter) Tick(now time.Duration) Ready {
	l.settle(now)
	l.dropLateAsks(now)
	r := Ready{}
	wants := newAskBatch()
	for _, a := range l.active {
		l.advance(a, now)
		r.Done = l.serveWaiters(a, now, r.Done)
		l.collect(a, now, wants)
		if len(a.waiters) > 0 {
			next := now + l.settings.AskInterval
			next = min(next, a.waiters[0].until)
			if r.NextTick == 0 || next < r.NextTick {
				r.NextTick = next
			}
		}
	}
	l.dropIdle(now)
	r.Asks = l.send(now, wants)
	r.Returns, l.returns = l.returns, nil
	return r
}

// dropIdle takes accounts off the active list that need no Tick: an instance
// knows all accounts of the fleet and sees requests of few.
func (l *Limiter) dropIdle(now time.Duration) {
	l.active = slices.DeleteFunc(l.active, func(a *account) bool {
		a.active = len(a.waiters) > 0 || len(a.bucket.credits) > 0 || now-a.seenAt <= prefetchWithin
		return !a.active
	})
}

// Cancel gives up on a waiting request, such as one whose caller left.
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

// serveWaiters decides in order of arrival, so that small requests do not
// starve a large one.
func (l *Limiter) serveWaiters(a *account, now time.Duration, done []Outcome) []Outcome {
	kept := a.waiters[:0]
	for _, w := range a.waiters {
		switch {
		case w.cost > a.bucket.burst:
			done = append(done, Outcome{Ticket: w.ticket, Err: ErrTooLarge})
		case len(kept) == 0 && a.bucket.available() >= w.cost:
			done = append(done, Outcome{Ticket: w.ticket, Reservation: l.debit(a, now, w.cost)})
		case now >= w.until || l.hopeless(a, now, w, kept):
			done = append(done, Outcome{Ticket: w.ticket, Err: ErrOverRate, RetryAfter: l.retryAfter(a, w.cost)})
		default:
			kept = append(kept, w)
		}
	}
	a.waiters = kept
	return done
}

// hopeless reports that all peers have just answered and that even with all
// they kept and all that is minted until its deadline the request would not
// be admitted: its caller is better off with the refusal now.
func (l *Limiter) hopeless(a *account, now time.Duration, w waiter, ahead []waiter) bool {
	if len(l.peers) == 0 || !l.freshHints(a, now) {
		return false
	}
	need := w.cost
	for _, o := range ahead {
		need += o.cost
	}
	return need > l.fleetBalance(a, now)+a.bucket.rate*(w.until-now).Seconds()
}

// retryAfter is the time in which the whole fleet mints what is missing.
func (l *Limiter) retryAfter(a *account, cost float64) time.Duration {
	for _, w := range a.waiters {
		cost += w.cost
	}
	missing := cost - l.fleetBalance(a, a.bucket.at)
	if missing <= 0 || a.bucket.rate <= 0 {
		return l.settings.MaxWait
	}
	return time.Duration(missing / a.bucket.rate * float64(time.Second))
}
