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
	// UrgencyFirst orders items by priority across accounts and accounts only within a
	// priority, with a floor for each lower priority. Items that can't be on time any more
	// yield to all others.
	UrgencyFirst bool
}

// Queue holds the waiting requests of one pool. It is not safe for concurrent use.
type Queue[T any] struct {
	options Options
	// classes are in the order in which they are served.
	classes []*class[T]
	count   int
	cost    float64
	// work is the cost that has been served.
	work  float64
	meter rateMeter
}

// New returns an empty queue.
func New[T any](o Options) *Queue[T] {
	q := &Queue[T]{options: o, meter: newRateMeter(o.MinRate)}
	n := 1
	if o.UrgencyFirst {
		n = urgencyClasses
	}
	for range n {
		q.classes = append(q.classes, newClass[T]())
	}
	return q
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
	if refused := q.enqueue(now, it); refused != nil {
		return refused
	}
	if q.count <= q.options.MaxItems {
		return nil
	}
	return []Refusal[T]{q.refuseNewest(now)}
}

// enqueue adds an item to its class, or refuses it if it cannot meet its deadline there.
func (q *Queue[T]) enqueue(now time.Duration, it Item[T]) []Refusal[T] {
	i := q.classOf(now, &it)
	c := q.classes[i]
	if q.options.UrgencyFirst {
		c.arrivals.add(now, it.Cost)
	}
	if wait := q.wait(now, i, &it); it.missesDeadline(now, wait) {
		return []Refusal[T]{{Item: it, Reason: ReasonDeadline, RetryAfter: retryAfter(now, wait, &it)}}
	}
	c.push(it, q.work)
	q.count++
	q.cost += it.Cost
	return nil
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
// soft deadline has passed behind the others of their account or, with UrgencyFirst, of
// all accounts. Call it before Pop and on
// a short timer, so that callers are refused early.
func (q *Queue[T]) Sweep(now time.Duration) []Refusal[T] {
	var out []Refusal[T]
	if q.options.UrgencyFirst {
		out = q.demoteLate(now)
	} else {
		for _, f := range q.classes[0].active {
			f.demoteLate(now)
		}
	}
	for _, c := range q.classes {
		out = append(out, q.removePastDeadline(now, c)...)
	}
	return out
}

func (q *Queue[T]) removePastDeadline(now time.Duration, c *class[T]) []Refusal[T] {
	var out []Refusal[T]
	for i := len(c.active) - 1; i >= 0; i-- {
		f := c.active[i]
		for l := range f.levels {
			for j := len(f.levels[l]) - 1; j >= 0; j-- {
				if !f.levels[l][j].missesDeadline(now, 0) {
					continue
				}
				it := f.remove(l, j)
				q.itemRemoved(c, f, it.Cost)
				out = append(out, Refusal[T]{Item: it, Reason: ReasonDeadline, RetryAfter: retryAfter(now, 0, &it)})
			}
		}
	}
	return out
}

// AdjustCharge corrects the charge of an account after Pop. The delta is the number of
// tokens that the request used minus the Cost with which it was popped.
func (q *Queue[T]) AdjustCharge(account string, delta float64) {
	for _, c := range q.classes {
		if f := c.flows[account]; f != nil {
			f.startTag += delta / f.weight
			return
		}
	}
}

// Cancel removes an item whose caller has disconnected.
func (q *Queue[T]) Cancel(account string, id uint64) bool {
	for _, c := range q.classes {
		f := c.flows[account]
		if f == nil {
			continue
		}
		for l := range f.levels {
			for i := range f.levels[l] {
				if f.levels[l][i].ID == id {
					it := f.remove(l, i)
					q.itemRemoved(c, f, it.Cost)
					return true
				}
			}
		}
	}
	return false
}

// itemRemoved updates the totals after an item was removed from a flow.
func (q *Queue[T]) itemRemoved(c *class[T], f *flow[T], cost float64) {
	c.itemRemoved(f, cost)
	q.count--
	q.cost -= cost
	if q.count == 0 {
		q.cost = 0
	}
}

// refuseNewest refuses the newest item of the lowest priority of the account that has
// the most items for its weight.
func (q *Queue[T]) refuseNewest(now time.Duration) Refusal[T] {
	c := q.classToShorten(now)
	f := c.largestFlow()
	wait := q.meter.wait(f.cost)
	it := f.removeNewest()
	q.itemRemoved(c, f, it.Cost)
	return Refusal[T]{Item: it, Reason: ReasonFull, RetryAfter: wait}
}

// Backlog returns the time to serve the waiting items of an account at its share of the
// rate.
func (q *Queue[T]) Backlog(account string, weight float64) time.Duration {
	tokens := 0.0
	for _, c := range q.classes {
		tokens += c.accountBacklog(account, weight)
	}
	return q.meter.wait(tokens)
}

// minRetryAfter prevents callers from retrying immediately.
const minRetryAfter = 100 * time.Millisecond

// retryAfter returns the time after which the backlog is expected to be short enough for
// the item to meet its deadline.
func retryAfter[T any](now, wait time.Duration, it *Item[T]) time.Duration {
	return max(minRetryAfter, now+wait+it.MinServiceTime-it.Deadline)
}
