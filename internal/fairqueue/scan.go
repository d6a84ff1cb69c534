package fairqueue

import "time"

// Verdict is what becomes of an item that a scan visits.
type Verdict int

// The verdicts of a scan.
const (
	// Skip leaves the item where it is.
	Skip Verdict = iota
	// Serve serves the item.
	Serve
	// Refuse removes the item unserved.
	Refuse
)

// Scan visits at most limit items in the order in which they would be popped
// and does with each what visit says. Skipped items keep their places: an
// item whose target is full must not hold up the others behind it.
func (q *Queue[T]) Scan(now time.Duration, limit int, visit func(*Item[T]) Verdict) {
	for _, f := range q.active {
		f.rewind()
	}
	for ; limit > 0; limit-- {
		f, it := q.nextVisit()
		if f == nil {
			return
		}
		step := it.Cost / f.weight
		switch visit(it) {
		case Serve:
			q.take(now, f, it.Cost)
			f.cursor.tag += step
		case Refuse:
			cost := it.Cost
			f.take(f.cursor.level, f.cursor.at)
			q.left(f, cost)
		case Skip:
			f.cursor.at++
			f.cursor.tag += step
		}
	}
}

// nextVisit is the flow furthest behind that has an item at its cursor.
func (q *Queue[T]) nextVisit() (*flow[T], *Item[T]) {
	var next *flow[T]
	var item *Item[T]
	for _, f := range q.active {
		if next != nil && f.cursor.tag >= next.cursor.tag {
			continue
		}
		if it := f.peek(); it != nil {
			next, item = f, it
		}
	}
	return next, item
}

// take serves the item at a flow's cursor.
func (q *Queue[T]) take(now time.Duration, f *flow[T], cost float64) {
	f.take(f.cursor.level, f.cursor.at)
	q.virtual = max(q.virtual, f.tag)
	f.tag += cost / f.weight
	q.left(f, cost)
	q.meter.served(now, cost)
}
