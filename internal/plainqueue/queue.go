package plainqueue

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// MaxWaiting is the number of requests that may wait at an instance, as many as it may
	// have in flight at one target.
	MaxWaiting = 64
	// maxTokens is the number of requests that an instance may send at once while there is a
	// bound on the rate. With one, the part of the rate is lost that accrues between arrivals.
	maxTokens = 2
	// reservedTokens is what less urgent requests leave. It is less than maxTokens-1 allows, so
	// that they are served too while the most urgent take all of the rate.
	reservedTokens = 0.5
	// minRetryAfter and maxRetryAfter bound the time after which refused callers return.
	minRetryAfter, maxRetryAfter = 100 * time.Millisecond, 5 * time.Second
)

// Request is a request that asks for a target.
type Request[T comparable] struct {
	// Urgency is from 0, the most urgent, upwards.
	Urgency int
	// Deadline is the time by which the answer is due; 0 for none.
	Deadline time.Duration
	// MaxWait is how long it may wait; 0 for as long as the deadline allows. A longer wait
	// makes all answers late without more of them being served.
	MaxWait time.Duration
	Value   T

	arrivedAt time.Duration
}

// Verdict is what happens to a request.
type Verdict int

// The verdicts.
const (
	Send Verdict = iota
	Wait
	// RefuseFull and RefuseDeadline refuse a request since too many wait, or since it can't be
	// answered before its deadline.
	RefuseFull
	RefuseDeadline
)

func (v Verdict) String() string {
	return [...]string{"sent", "waits", "queue_full", "cannot_make_deadline"}[v]
}

// Queue has the requests that wait at one instance for the right to be sent. The zero value sends
// everything at once. It is not safe for concurrent use.
type Queue[T comparable] struct {
	waiting []Request[T]
	// rate is the number of requests per second that may be sent; 0 for no bound.
	rate float64
	// tokens is the number of requests that may be sent now, at most maxTokens.
	tokens       float64
	updatedAt    time.Duration
	timeAtTarget time.Duration
	// mostUrgent is the most urgent of the requests since there is a bound on the rate.
	mostUrgent int
}

// SetRate sets the number of requests per second that may be sent, 0 for no bound, and how long
// a request is at a target.
func (q *Queue[T]) SetRate(now time.Duration, rate float64, timeAtTarget time.Duration) {
	if q.rate == 0 {
		q.tokens, q.mostUrgent = maxTokens, math.MaxInt
	} else {
		q.tokens = min(maxTokens, q.tokens+q.rate*(now-q.updatedAt).Seconds())
	}
	q.rate, q.timeAtTarget, q.updatedAt = rate, timeAtTarget, now
}

// Admit decides on a new request. One that is refused may return after the given time. SetRate
// must have been called for the same time.
func (q *Queue[T]) Admit(now time.Duration, r Request[T]) (v Verdict, retryAfter time.Duration) {
	if q.rate == 0 && len(q.waiting) == 0 {
		return Send, 0
	}
	q.mostUrgent = min(q.mostUrgent, r.Urgency)
	i, _ := slices.BinarySearchFunc(q.waiting, r, func(a, b Request[T]) int {
		if order := a.compare(&b); order != 0 {
			return order
		}
		return -1 // after those of the same rank
	})
	switch {
	case i == 0 && q.takeToken(r.Urgency):
		return Send, 0
	case q.isLate(now+q.waitFor(i), &r):
		return RefuseDeadline, q.retryAfter()
	case len(q.waiting) >= MaxWaiting || r.MaxWait > 0 && q.waitFor(i) > r.MaxWait:
		return RefuseFull, q.retryAfter()
	}
	r.arrivedAt = now
	q.waiting = slices.Insert(q.waiting, i, r)
	return Wait, 0
}

func (r *Request[T]) compare(o *Request[T]) int {
	if r.Urgency != o.Urgency {
		return cmp.Compare(r.Urgency, o.Urgency)
	}
	switch {
	case r.Deadline == o.Deadline:
		return 0
	case r.Deadline == 0:
		return 1
	case o.Deadline == 0:
		return -1
	}
	return cmp.Compare(r.Deadline, o.Deadline)
}

// isLate reports whether a request that is sent at the given time is answered after its deadline.
func (q *Queue[T]) isLate(sentAt time.Duration, r *Request[T]) bool {
	return r.Deadline > 0 && sentAt+q.timeAtTarget > r.Deadline
}

// waitFor returns how long a request waits if n are ahead of it.
func (q *Queue[T]) waitFor(n int) time.Duration {
	if q.rate == 0 {
		return 0
	}
	return time.Duration(max(0, float64(n+1)-q.tokens) / q.rate * float64(time.Second))
}

// retryAfter returns when all that wait now will have been sent.
func (q *Queue[T]) retryAfter() time.Duration {
	return min(max(q.waitFor(len(q.waiting)), minRetryAfter), maxRetryAfter)
}

// takeToken takes the right to send a request. Less urgent ones leave reservedTokens for the next of
// the most urgent.
func (q *Queue[T]) takeToken(urgency int) bool {
	needed := 1.0
	if urgency > q.mostUrgent {
		needed += reservedTokens
	}
	if q.rate == 0 {
		return true
	}
	if q.tokens < needed {
		return false
	}
	q.tokens--
	return true
}

// Next removes the next request on which there is a decision now: it is sent, or refused since
// it has waited for too long or its deadline can't be met any more. SetRate must have been called for the same time.
func (q *Queue[T]) Next(now time.Duration) (value T, v Verdict, retryAfter time.Duration, ok bool) {
	for i := range q.waiting {
		r, refusal := q.waiting[i], Wait
		switch {
		case q.isLate(now, &r):
			refusal = RefuseDeadline
		case q.rate > 0 && r.MaxWait > 0 && now-r.arrivedAt > r.MaxWait:
			refusal = RefuseFull
		default:
			continue
		}
		q.waiting = slices.Delete(q.waiting, i, i+1)
		return r.Value, refusal, q.retryAfter(), true
	}
	if len(q.waiting) == 0 || !q.takeToken(q.waiting[0].Urgency) {
		return value, Wait, 0, false
	}
	value = q.waiting[0].Value
	q.waiting = slices.Delete(q.waiting, 0, 1)
	return value, Send, 0, true
}

// Remove removes a request that no longer waits, such as one whose caller has left.
func (q *Queue[T]) Remove(value T) {
	q.waiting = slices.DeleteFunc(q.waiting, func(r Request[T]) bool { return r.Value == value })
}

// Len returns the number of requests that wait.
func (q *Queue[T]) Len() int { return len(q.waiting) }

// NextIn returns the time until the next request may be sent.
func (q *Queue[T]) NextIn() time.Duration { return q.waitFor(0) }
