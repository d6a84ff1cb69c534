package fairqueue

import "time"

// Verdict is what Scan does with an item.
type Verdict int

// The verdicts of a scan.
const (
	// Skip leaves the item in its position.
	Skip Verdict = iota
	// Serve removes the item as served and charges its account.
	Serve
	// Refuse removes the item without charging its account.
	Refuse
)

// Scan calls visit for at most limit items, in the order in which they would be popped,
// and applies the returned verdict to each. Skipped items keep their position: an item
// whose target is at capacity must not block the items behind it.
func (q *Queue[T]) Scan(now time.Duration, limit int, visit func(*Item[T]) Verdict) {
	q.updateFloors(now)
	for _, c := range q.classes {
		c.startScan()
	}
	work := q.work // as if all items before the cursors had been served
	for ; limit > 0; limit-- {
		c, f, it := q.nextToScan(work)
		if f == nil {
			return
		}
		cost := it.Cost
		switch visit(it) {
		case Serve:
			q.serve(now, c, f, cost)
		case Refuse:
			f.remove(f.cursor.level, f.cursor.index)
			q.itemRemoved(c, f, cost)
			continue
		case Skip:
			f.cursor.index++
		}
		work += cost
		f.cursor.startTag += cost / f.weight
		c.cursorTag = c.nextFloorTag(c.cursorTag, work, cost)
	}
}

// serve removes the item at a flow's cursor and charges the flow and its class.
func (q *Queue[T]) serve(now time.Duration, c *class[T], f *flow[T], cost float64) {
	c.serve(f, cost)
	q.count--
	q.cost -= cost
	if q.count == 0 {
		q.cost = 0
	}
	q.work += cost
	c.floorTag = c.nextFloorTag(c.floorTag, q.work, cost)
	q.meter.served(now, cost)
}
