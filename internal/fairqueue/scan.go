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
	for _, f := range q.active {
		f.resetCursor()
	}
	for ; limit > 0; limit-- {
		f, it := q.nextToScan()
		if f == nil {
			return
		}
		step := it.Cost / f.weight
		switch visit(it) {
		case Serve:
			q.serve(now, f, it.Cost)
			f.cursor.startTag += step
		case Refuse:
			cost := it.Cost
			f.remove(f.cursor.level, f.cursor.index)
			q.itemRemoved(f, cost)
		case Skip:
			f.cursor.index++
			f.cursor.startTag += step
		}
	}
}

// nextToScan returns the flow with the lowest virtual time among those with an item at
// their cursor, and that item.
func (q *Queue[T]) nextToScan() (*flow[T], *Item[T]) {
	var next *flow[T]
	var item *Item[T]
	for _, f := range q.active {
		if next != nil && f.cursor.startTag >= next.cursor.startTag {
			continue
		}
		if it := f.peek(); it != nil {
			next, item = f, it
		}
	}
	return next, item
}

// serve removes the item at a flow's cursor and charges the flow.
func (q *Queue[T]) serve(now time.Duration, f *flow[T], cost float64) {
	f.remove(f.cursor.level, f.cursor.index)
	q.virtualTime = max(q.virtualTime, f.startTag)
	f.startTag += cost / f.weight
	q.itemRemoved(f, cost)
	q.meter.served(now, cost)
}
