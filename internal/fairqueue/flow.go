package fairqueue

import "time"

// flow holds the waiting items of one account.
type flow[T any] struct {
	account string
	weight  float64
	// startTag is the virtual time at which the next item starts.
	startTag float64
	levels   [MaxPriority + 1][]Item[T]
	costs    [MaxPriority + 1]float64
	cost     float64
	count    int
	cursor   cursor
}

// cursor is the position of a scan in a flow.
type cursor struct {
	// startTag is the flow's start tag as if all items before the cursor had been
	// served.
	startTag float64
	level    int
	index    int
}

func (f *flow[T]) resetCursor() { f.cursor = cursor{startTag: f.startTag, level: MaxPriority} }

// peek returns the item at the cursor, or nil at the end.
func (f *flow[T]) peek() *Item[T] {
	for c := &f.cursor; c.level >= 0; {
		if c.index < len(f.levels[c.level]) {
			return &f.levels[c.level][c.index]
		}
		c.level--
		c.index = 0
	}
	return nil
}

func (f *flow[T]) push(it Item[T]) {
	l := it.level()
	f.levels[l] = append(f.levels[l], it)
	f.account, f.weight = it.Account, it.weight()
	f.adjustTotals(l, it.Cost, 1)
}

func (f *flow[T]) adjustTotals(level int, cost float64, n int) {
	f.costs[level] += cost
	f.cost += cost
	f.count += n
}

// costAhead returns the cost of the items that are served before a new item of the
// given level.
func (f *flow[T]) costAhead(level int) float64 {
	sum := 0.0
	for l := level; l <= MaxPriority; l++ {
		sum += f.costs[l]
	}
	return sum
}

// remove removes the i-th item of a level.
func (f *flow[T]) remove(level, i int) Item[T] {
	q := f.levels[level]
	it := q[i]
	if i == 0 {
		q[0] = Item[T]{}
		f.levels[level] = q[1:]
	} else {
		f.levels[level] = append(q[:i], q[i+1:]...)
	}
	f.adjustTotals(level, -it.Cost, -1)
	if len(f.levels[level]) == 0 {
		f.levels[level], f.costs[level] = nil, 0
	}
	return it
}

// demotedLevel is the level of items whose soft deadline has passed.
const demotedLevel = 0

// demoteLate moves items whose soft deadline has passed behind all others. Items of
// one level keep their order.
func (f *flow[T]) demoteLate(now time.Duration) {
	for l := MaxPriority; l > demotedLevel; l-- {
		for i := 0; i < len(f.levels[l]); {
			if !f.levels[l][i].isLate(now) {
				i++
				continue
			}
			it := f.remove(l, i)
			f.levels[demotedLevel] = append(f.levels[demotedLevel], it)
			f.adjustTotals(demotedLevel, it.Cost, 1)
		}
	}
}

// removeNewest removes the newest item of the lowest level that has one.
func (f *flow[T]) removeNewest() Item[T] {
	for l := range f.levels {
		if n := len(f.levels[l]); n > 0 {
			return f.remove(l, n-1)
		}
	}
	return Item[T]{}
}
