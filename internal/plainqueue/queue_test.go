package plainqueue

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func admit(q *Queue[int], now time.Duration, value, urgency int, deadline time.Duration) Verdict {
	v, _ := q.Admit(now, Request[int]{Urgency: urgency, Deadline: deadline, Value: value})
	return v
}

// sendMaxTokens sends as many requests as an instance may send at once.
func sendMaxTokens(is *is.I, q *Queue[int]) {
	for range maxTokens {
		is.Equal(admit(q, 0, -1, 0, 0), Send)
	}
}

// Guards against waiting where no rate is set.
func TestWithoutRateNothingWaits(t *testing.T) {
	is := is.New(t)
	var q Queue[int]
	for i := range 1000 {
		is.Equal(admit(&q, 0, i, 0, ms), Send)
	}
	is.Equal(q.Len(), 0)
}

// Guards against less urgent requests, or those with later deadlines, that are sent first.
func TestMostUrgentFirst(t *testing.T) {
	is := is.New(t)
	var q Queue[int]
	q.SetRate(0, 10, 10*ms)
	sendMaxTokens(is, &q)
	is.Equal(admit(&q, 0, 1, 2, 0), Wait)
	is.Equal(admit(&q, 0, 2, 1, 2*time.Second), Wait)
	is.Equal(admit(&q, 0, 3, 1, time.Second), Wait)
	is.Equal(admit(&q, 0, 4, 1, time.Second), Wait)
	is.Equal(admit(&q, 0, 5, 0, 0), Wait)
	is.Equal(q.NextIn(), 100*ms)
	var order []int
	for now := time.Duration(0); now < 460*ms; now += 10 * ms {
		q.SetRate(now, 10, 10*ms)
		for value, v, _, ok := q.Next(now); ok; value, v, _, ok = q.Next(now) {
			is.Equal(v, Send)
			order = append(order, value)
		}
	}
	is.Equal(order, []int{5, 3, 4, 2}) // the last one leaves a part of the rate
	q.SetRate(460*ms, 0, 10*ms)
	value, v, _, ok := q.Next(460 * ms)
	is.True(ok && v == Send && value == 1) // no bound any more
	is.Equal(q.Len(), 0)
}

// Guards against requests that wait although they can't be answered before their deadlines, and
// against refusals that tell callers to return while there is no room.
func TestRequestsThatWouldBeLateAreRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	var q Queue[int]
	q.SetRate(0, 10, 50*ms)
	sendMaxTokens(is, &q)
	is.Equal(admit(&q, 0, 1, 0, 200*ms), Wait)
	is.Equal(admit(&q, 0, 2, 0, 400*ms), Wait)
	v, retryAfter := q.Admit(0, Request[int]{Deadline: 340 * ms, Value: 3}) // would be sent after 200 ms
	is.Equal(v, Wait)
	is.Equal(retryAfter, time.Duration(0))
	v, retryAfter = q.Admit(0, Request[int]{Deadline: 440 * ms, Value: 4})
	is.Equal(v, RefuseDeadline)
	is.Equal(retryAfter, 400*ms) // the three that wait, and itself
	q.SetRate(360*ms, 1, 50*ms)  // slower than expected
	value, v, _, ok := q.Next(360 * ms)
	is.True(ok && v == RefuseDeadline && value == 1)
}

// Guards against requests that wait longer than an answer can be on time.
func TestMaxWait(t *testing.T) {
	is := is.New(t)
	var q Queue[int]
	q.SetRate(0, 10, 0)
	sendMaxTokens(is, &q)
	r := Request[int]{Urgency: 1, MaxWait: 150 * ms, Value: 1}
	v, _ := q.Admit(0, r)
	is.Equal(v, Wait)
	v, retryAfter := q.Admit(0, r)
	is.Equal(v, RefuseFull)
	is.Equal(retryAfter, 200*ms)
	is.Equal(admit(&q, 0, 2, 0, 0), Wait) // a more urgent one takes its place
	q.SetRate(151*ms, 10, 0)
	value, v, _, ok := q.Next(151 * ms)
	is.True(ok && v == RefuseFull && value == 1)
	value, v, _, ok = q.Next(151 * ms)
	is.True(ok && v == Send && value == 2)
}

// Guards against a queue without bound, and against entries of callers that have left.
func TestQueueIsBounded(t *testing.T) {
	is := is.New(t)
	var q Queue[int]
	q.SetRate(0, 10, 0)
	sendMaxTokens(is, &q)
	for i := range MaxWaiting {
		is.Equal(admit(&q, 0, i, 0, 0), Wait)
	}
	v, retryAfter := q.Admit(0, Request[int]{Value: MaxWaiting})
	is.Equal(v, RefuseFull)
	is.Equal(retryAfter, maxRetryAfter)
	q.Remove(3)
	is.Equal(q.Len(), MaxWaiting-1)
	is.Equal(admit(&q, 0, MaxWaiting, 0, 0), Wait)
}
