package fairqueue

import "time"

// floorRatio is how often a class is served at least, relative to the most urgent class
// that waits. No class may be served less than a quarter as often; the rest is for the
// error of the measured arrival rates.
const floorRatio = 0.3

// urgencyClasses is the number of classes of a queue with Options.UrgencyFirst: one for
// each priority, the highest first, and one for late items.
const urgencyClasses = MaxPriority + 2

// classOf returns the index of the class for an item that arrives or becomes late.
func (q *Queue[T]) classOf(now time.Duration, it *Item[T]) int {
	switch {
	case !q.options.UrgencyFirst:
		return 0
	case it.isLate(now):
		return urgencyClasses - 1
	}
	return MaxPriority - it.level()
}

// updateFloors sets the floor shares of the classes with waiting items. A class's share
// grows with its demand: a fixed one would be too much for a small class and too little
// for a large one.
func (q *Queue[T]) updateFloors(now time.Duration) {
	if !q.options.UrgencyFirst {
		return
	}
	total, factor := 0.0, 1.0
	for _, c := range q.classes {
		c.floorShare = 0
		if c.count > 0 {
			c.floorShare = factor * c.demand(now)
			total += c.floorShare
			factor = floorRatio
		}
	}
	for _, c := range q.classes {
		if c.floorShare > 0 {
			c.floorShare /= total
		}
	}
}

// nextToScan returns the class, the flow and the item that are served next after work: the
// most urgent one, unless the floor of a less urgent class is due.
func (q *Queue[T]) nextToScan(work float64) (*class[T], *flow[T], *Item[T]) {
	var next *class[T]
	var nextFlow *flow[T]
	var nextItem *Item[T]
	overdue := 0.0
	for _, c := range q.classes {
		f, it := c.next()
		if f == nil {
			continue
		}
		if next == nil {
			next, nextFlow, nextItem = c, f, it
			continue
		}
		if due := c.floorDue(work, it.Cost); due >= overdue {
			next, nextFlow, nextItem, overdue = c, f, it, due
		}
	}
	return next, nextFlow, nextItem
}

// wait returns the expected time until a new item of class i is served. Items of more
// urgent classes, including those that arrive meanwhile, are served first, but the class
// gets at least its floor.
func (q *Queue[T]) wait(now time.Duration, i int, it *Item[T]) time.Duration {
	c := q.classes[i]
	ahead := c.costAhead(it)
	if !q.options.UrgencyFirst {
		return q.meter.wait(ahead)
	}
	rate := q.meter.rate()
	if rate <= 0 {
		return 0
	}
	moreUrgent, arriving := 0.0, 0.0
	for _, other := range q.classes[:i] {
		moreUrgent += other.cost
		arriving += other.arrivals.rate(now)
	}
	if moreUrgent+ahead == 0 {
		return 0
	}
	floor, lessUrgentFloors := q.floorsIfWaiting(now, i, it)
	return min(
		secondsFor(moreUrgent+ahead, rate*(1-lessUrgentFloors)-arriving),
		secondsFor(ahead+it.Cost, rate*floor),
	)
}

// floorsIfWaiting returns the floor share of class i with a new item, and the sum of the
// floor shares of the less urgent classes.
func (q *Queue[T]) floorsIfWaiting(now time.Duration, i int, it *Item[T]) (own, lessUrgent float64) {
	total, factor := 0.0, 1.0
	for j, c := range q.classes {
		if j != i && c.count == 0 {
			continue
		}
		share := factor * c.demand(now)
		switch {
		case j == i:
			share = max(share, factor*(c.cost+it.Cost)/arrivalWindow.Seconds())
			own = share
		case j > i:
			lessUrgent += share
		}
		total += share
		factor = floorRatio
	}
	return own / total, lessUrgent / total
}

// demoteLate moves items that can't be on time any more to the class for late items, and
// refuses those that can't meet their deadline there.
func (q *Queue[T]) demoteLate(now time.Duration) []Refusal[T] {
	var out []Refusal[T]
	for _, c := range q.classes[:len(q.classes)-1] {
		for i := len(c.active) - 1; i >= 0; i-- {
			f := c.active[i]
			for l := range f.levels {
				for j := 0; j < len(f.levels[l]); {
					if !f.levels[l][j].isLate(now) {
						j++
						continue
					}
					it := f.remove(l, j)
					q.itemRemoved(c, f, it.Cost)
					out = append(out, q.enqueue(now, it)...)
				}
			}
		}
	}
	return out
}

// classToShorten returns the class that loses an item when the queue is full: the least
// urgent one that has more than its floor.
func (q *Queue[T]) classToShorten(now time.Duration) *class[T] {
	q.updateFloors(now)
	var last *class[T]
	for i := len(q.classes) - 1; i >= 0; i-- {
		c := q.classes[i]
		if c.count == 0 {
			continue
		}
		last = c
		if c.cost > c.floorShare*q.cost {
			return c
		}
	}
	return last
}
