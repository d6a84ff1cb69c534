package fairqueue

import "time"

// Options bound a queue.
type Options struct {
	// MaxItems bounds the waiting items.
	MaxItems int
	// MinRate is the tokens a second that the pool serves this instance
	// at least. A queue that is long only because one target is hot measures
	// less, and would refuse what other targets have time for.
	MinRate float64
}

// Queue is the waiting requests of one pool. It is not safe for concurrent
// use.
type Queue[T any] struct {
	options Options
	flows   map[string]*flow[T]
	active  []*flow[T]
	// virtual is the start tag of the item served last.
	virtual float64
	count   int
	cost    float64
	meter   rateMeter
}

// New makes an empty queue.
func New[T any](o Options) *Queue[T] {
	return &Queue[T]{options: o, flows: map[string]*flow[T]{}, meter: newRateMeter(o.MinRate)}
}

// Len is the number of waiting items.
func (q *Queue[T]) Len() int { return q.count }

// Cost is the tokens of all waiting items.
func (q *Queue[T]) Cost() float64 { return q.cost }

// Push adds an item, or refuses it at once when it cannot make its deadline.
// On a full queue it refuses an item of the account that holds most of the
// queue for its weight, which can be another item than the one pushed: so an
// account that floods the queue displaces only itself.
func (q *Queue[T]) Push(now time.Duration, it Item[T]) []Refusal[T] {
	if q.count == 0 {
		q.meter.resume(now)
	}
	wait := q.expectedWait(&it)
	if it.late(now, wait) {
		return []Refusal[T]{{Item: it, Reason: ReasonDeadline, RetryAfter: retryAfter(now, wait, &it)}}
	}
	f := q.flow(&it)
	if f.count == 0 {
		q.activate(f)
	}
	f.push(it)
	q.count++
	q.cost += it.Cost
	if q.count <= q.options.MaxItems {
		return nil
	}
	return []Refusal[T]{q.displace()}
}

// Pop removes the next item to serve. Items that became late meanwhile are
// left for Sweep.
func (q *Queue[T]) Pop(now time.Duration) (Item[T], bool) {
	var out Item[T]
	found := false
	q.Scan(now, 1, func(it *Item[T]) Verdict {
		out, found = *it, true
		return Serve
	})
	return out, found
}

// Sweep removes the items that can no longer make their deadline and puts
// those behind that are past their best. Call it before Pop and on a short
// timer, so that a caller hears early.
func (q *Queue[T]) Sweep(now time.Duration) []Refusal[T] {
	for _, f := range q.active {
		f.demote(now)
	}
	var out []Refusal[T]
	for i := len(q.active) - 1; i >= 0; i-- {
		f := q.active[i]
		for l := range f.levels {
			for j := len(f.levels[l]) - 1; j >= 0; j-- {
				if !f.levels[l][j].late(now, 0) {
					continue
				}
				it := f.take(l, j)
				q.left(f, it.Cost)
				out = append(out, Refusal[T]{Item: it, Reason: ReasonDeadline, RetryAfter: retryAfter(now, 0, &it)})
			}
		}
	}
	return out
}

// AdjustCharge corrects what an account was charged at Pop: delta is the tokens that
// the request used less the Cost it was popped with.
func (q *Queue[T]) AdjustCharge(account string, delta float64) {
	if f := q.flows[account]; f != nil {
		f.tag += delta / f.weight
	}
}

// Cancel removes an item whose caller has gone.
func (q *Queue[T]) Cancel(account string, id uint64) bool {
	f := q.flows[account]
	if f == nil {
		return false
	}
	for l := range f.levels {
		for i := range f.levels[l] {
			if f.levels[l][i].ID == id {
				it := f.take(l, i)
				q.left(f, it.Cost)
				return true
			}
		}
	}
	return false
}

// flow finds or makes the account's flow.
func (q *Queue[T]) flow(it *Item[T]) *flow[T] {
	f := q.flows[it.Account]
	if f == nil {
		f = &flow[T]{tag: q.virtual}
		q.flows[it.Account] = f
	}
	return f
}

// activate starts a flow that had nothing waiting. It may not start in the
// past: an account that was idle would save up time and then crowd out the
// others.
func (q *Queue[T]) activate(f *flow[T]) {
	f.tag = max(f.tag, q.virtual)
	q.active = append(q.active, f)
}

// left accounts for an item that was taken from a flow.
func (q *Queue[T]) left(f *flow[T], cost float64) {
	q.count--
	q.cost -= cost
	if f.count > 0 {
		return
	}
	for i, a := range q.active {
		if a == f {
			last := len(q.active) - 1
			q.active[i] = q.active[last]
			q.active = q.active[:last]
			break
		}
	}
	if q.count == 0 {
		q.cost = 0
		q.forgetIdle()
	}
}

// maxIdleFlows is how many idle accounts are remembered.
const maxIdleFlows = 1024

// forgetIdle drops flows that would start at the present virtual time anyway,
// so that accounts long gone take no memory.
func (q *Queue[T]) forgetIdle() {
	if len(q.flows) <= maxIdleFlows {
		return
	}
	for name, f := range q.flows {
		if f.tag <= q.virtual {
			delete(q.flows, name)
		}
	}
}

// displace refuses the newest item of the lowest priority of the account that
// has the most items for its weight.
func (q *Queue[T]) displace() Refusal[T] {
	worst := q.active[0]
	for _, f := range q.active[1:] {
		if float64(f.count)/f.weight > float64(worst.count)/worst.weight {
			worst = f
		}
	}
	wait := q.meter.wait(worst.cost)
	it := worst.dropLast()
	q.left(worst, it.Cost)
	return Refusal[T]{Item: it, Reason: ReasonFull, RetryAfter: wait}
}

// expectedWait is the time until a new item would be popped: its account is
// served at least its share of the rate, and never waits for more than the
// whole backlog.
func (q *Queue[T]) expectedWait(it *Item[T]) time.Duration {
	weights, own := it.weight(), 0.0
	for _, f := range q.active {
		if f.account == it.Account {
			own = f.ahead(it.level())
			continue
		}
		weights += f.weight
	}
	share := own * weights / it.weight()
	return q.meter.wait(min(share, q.cost))
}

// Backlog is the time that an account's waiting items take at its share of
// the rate.
func (q *Queue[T]) Backlog(account string, weight float64) time.Duration {
	it := Item[T]{Account: account, Weight: weight}
	return q.expectedWait(&it)
}

// minRetryAfter keeps callers from trying again at once.
const minRetryAfter = 100 * time.Millisecond

// retryAfter is when the backlog will have shrunk enough.
func retryAfter[T any](now, wait time.Duration, it *Item[T]) time.Duration {
	return max(minRetryAfter, now+wait+it.MinServiceTime-it.Deadline)
}
