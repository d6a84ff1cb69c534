package fairqueue

import "time"

// Options configure a Queue.
type Options struct {
	// MaxItems is the maximum number of waiting items.
	MaxItems int
	// MinRate is the minimum rate, in tokens per second, at which the pool is assumed
	// to serve this instance. If the queue is long only because one target is
	// overloaded, the measured rate is lower and would cause refusals of requests that
	// other targets have time for.
	MinRate float64
}

// Queue holds the waiting requests of one pool. It is not safe for concurrent use.
type Queue[T any] struct {
	options Options
	flows   map[string]*flow[T]
	active  []*flow[T]
	// virtualTime is the start tag of the item served last.
	virtualTime float64
	count       int
	cost        float64
	meter       rateMeter
}

// New returns an empty queue.
func New[T any](o Options) *Queue[T] {
	return &Queue[T]{options: o, flows: map[string]*flow[T]{}, meter: newRateMeter(o.MinRate)}
}

// Len returns the number of waiting items.
func (q *Queue[T]) Len() int { return q.count }

// Cost returns the total cost of the waiting items, in tokens.
func (q *Queue[T]) Cost() float64 { return q.cost }

// Push adds an item, or refuses it immediately if it cannot meet its deadline. If the
// queue is full, it refuses an item of the account with the most items for its weight,
// which is not necessarily the pushed one: an account that floods the queue loses only
// its own items.
func (q *Queue[T]) Push(now time.Duration, it Item[T]) []Refusal[T] {
	if q.count == 0 {
		q.meter.startBacklog(now)
	}
	wait := q.expectedWait(&it)
	if it.missesDeadline(now, wait) {
		return []Refusal[T]{{Item: it, Reason: ReasonDeadline, RetryAfter: retryAfter(now, wait, &it)}}
	}
	f := q.flowFor(&it)
	if f.count == 0 {
		q.activate(f)
	}
	f.push(it)
	q.count++
	q.cost += it.Cost
	if q.count <= q.options.MaxItems {
		return nil
	}
	return []Refusal[T]{q.refuseNewest()}
}

// Pop removes and returns the next item to serve. It does not check deadlines; Sweep
// does.
func (q *Queue[T]) Pop(now time.Duration) (Item[T], bool) {
	var out Item[T]
	found := false
	q.Scan(now, 1, func(it *Item[T]) Verdict {
		out, found = *it, true
		return Serve
	})
	return out, found
}

// Sweep removes the items that can no longer meet their deadline, and moves those whose
// soft deadline has passed behind the others of their account. Call it before Pop and on
// a short timer, so that callers are refused early.
func (q *Queue[T]) Sweep(now time.Duration) []Refusal[T] {
	for _, f := range q.active {
		f.demoteLate(now)
	}
	var out []Refusal[T]
	for i := len(q.active) - 1; i >= 0; i-- {
		f := q.active[i]
		for l := range f.levels {
			for j := len(f.levels[l]) - 1; j >= 0; j-- {
				if !f.levels[l][j].missesDeadline(now, 0) {
					continue
				}
				it := f.remove(l, j)
				q.itemRemoved(f, it.Cost)
				out = append(out, Refusal[T]{Item: it, Reason: ReasonDeadline, RetryAfter: retryAfter(now, 0, &it)})
			}
		}
	}
	return out
}

// AdjustCharge corrects the charge of an account after Pop. The delta is the number of
// tokens that the request used minus the Cost with which it was popped.
func (q *Queue[T]) AdjustCharge(account string, delta float64) {
	if f := q.flows[account]; f != nil {
		f.startTag += delta / f.weight
	}
}

// Cancel removes an item whose caller has disconnected.
func (q *Queue[T]) Cancel(account string, id uint64) bool {
	f := q.flows[account]
	if f == nil {
		return false
	}
	for l := range f.levels {
		for i := range f.levels[l] {
			if f.levels[l][i].ID == id {
				it := f.remove(l, i)
				q.itemRemoved(f, it.Cost)
				return true
			}
		}
	}
	return false
}

// flowFor returns the flow of the item's account and creates it if necessary.
func (q *Queue[T]) flowFor(it *Item[T]) *flow[T] {
	f := q.flows[it.Account]
	if f == nil {
		f = &flow[T]{startTag: q.virtualTime}
		q.flows[it.Account] = f
	}
	return f
}

// activate adds a flow that had no waiting items. Its start tag must not lie before the
// virtual time: otherwise an idle account would accumulate credit and later delay the
// others.
func (q *Queue[T]) activate(f *flow[T]) {
	f.startTag = max(f.startTag, q.virtualTime)
	q.active = append(q.active, f)
}

// itemRemoved updates the totals after an item was removed from a flow.
func (q *Queue[T]) itemRemoved(f *flow[T], cost float64) {
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
		q.pruneIdleFlows()
	}
}

// maxIdleFlows is the number of flows above which idle ones are removed.
const maxIdleFlows = 1024

// pruneIdleFlows removes the flows that would start at the current virtual time anyway,
// so that inactive accounts use no memory.
func (q *Queue[T]) pruneIdleFlows() {
	if len(q.flows) <= maxIdleFlows {
		return
	}
	for name, f := range q.flows {
		if f.startTag <= q.virtualTime {
			delete(q.flows, name)
		}
	}
}

// refuseNewest refuses the newest item of the lowest priority of the account that has
// the most items for its weight.
func (q *Queue[T]) refuseNewest() Refusal[T] {
	largest := q.active[0]
	for _, f := range q.active[1:] {
		if float64(f.count)/f.weight > float64(largest.count)/largest.weight {
			largest = f
		}
	}
	wait := q.meter.wait(largest.cost)
	it := largest.removeNewest()
	q.itemRemoved(largest, it.Cost)
	return Refusal[T]{Item: it, Reason: ReasonFull, RetryAfter: wait}
}

// expectedWait returns the expected time until a new item is popped. The account is
// served at its share of the rate or faster, and never waits longer than for the whole
// queue.
func (q *Queue[T]) expectedWait(it *Item[T]) time.Duration {
	weights, ahead := it.weight(), 0.0
	for _, f := range q.active {
		if f.account == it.Account {
			ahead = f.costAhead(it.level())
			continue
		}
		weights += f.weight
	}
	tokensBefore := ahead * weights / it.weight()
	return q.meter.wait(min(tokensBefore, q.cost))
}

// Backlog returns the time to serve the waiting items of an account at its share of the
// rate.
func (q *Queue[T]) Backlog(account string, weight float64) time.Duration {
	it := Item[T]{Account: account, Weight: weight}
	return q.expectedWait(&it)
}

// minRetryAfter prevents callers from retrying immediately.
const minRetryAfter = 100 * time.Millisecond

// retryAfter returns the time after which the backlog is expected to be short enough for
// the item to meet its deadline.
func retryAfter[T any](now, wait time.Duration, it *Item[T]) time.Duration {
	return max(minRetryAfter, now+wait+it.MinServiceTime-it.Deadline)
}
