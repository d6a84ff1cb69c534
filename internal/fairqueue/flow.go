package fairqueue

import "time"

// flow is the waiting items of one account.
type flow[T any] struct {
	account string
	weight  float64
	// tag is the virtual time at which the next item starts.
	tag    float64
	levels [MaxPriority + 1][]Item[T]
	costs  [MaxPriority + 1]float64
	cost   float64
	count  int
	cursor cursor
}

// cursor is how far a scan has come in a flow.
type cursor struct {
	// tag is the flow's tag if all items passed were served.
	tag   float64
	level int
	at    int
}

func (f *flow[T]) rewind() { f.cursor = cursor{tag: f.tag, level: MaxPriority} }

// peek is the item at the cursor; nil at the end.
func (f *flow[T]) peek() *Item[T] {
	for c := &f.cursor; c.level >= 0; {
		if c.at < len(f.levels[c.level]) {
			return &f.levels[c.level][c.at]
		}
		c.level--
		c.at = 0
	}
	return nil
}

func (f *flow[T]) push(it Item[T]) {
	l := it.level()
	f.levels[l] = append(f.levels[l], it)
	f.account, f.weight = it.Account, it.weight()
	f.add(l, it.Cost, 1)
}

func (f *flow[T]) add(level int, cost float64, n int) {
	f.costs[level] += cost
	f.cost += cost
	f.count += n
}

// ahead is the cost of the items served before a new one of this level.
func (f *flow[T]) ahead(level int) float64 {
	sum := 0.0
	for l := level; l <= MaxPriority; l++ {
		sum += f.costs[l]
	}
	return sum
}

// take removes the i-th item of a level.
func (f *flow[T]) take(level, i int) Item[T] {
	q := f.levels[level]
	it := q[i]
	if i == 0 {
		q[0] = Item[T]{}
		f.levels[level] = q[1:]
	} else {
		f.levels[level] = append(q[:i], q[i+1:]...)
	}
	f.add(level, -it.Cost, -1)
	if len(f.levels[level]) == 0 {
		f.levels[level], f.costs[level] = nil, 0
	}
	return it
}

// lateLevel is the level of items past their best.
const lateLevel = 0

// demote puts items that are past their best behind all others, in the order
// in which they came.
func (f *flow[T]) demote(now time.Duration) {
	for l := MaxPriority; l > lateLevel; l-- {
		for i := 0; i < len(f.levels[l]); {
			if best := f.levels[l][i].SoftDeadline; best == 0 || now <= best {
				i++
				continue
			}
			it := f.take(l, i)
			f.levels[lateLevel] = append(f.levels[lateLevel], it)
			f.add(lateLevel, it.Cost, 1)
		}
	}
}

// dropLast removes the newest item of the lowest level.
func (f *flow[T]) dropLast() Item[T] {
	for l := range f.levels {
		if n := len(f.levels[l]); n > 0 {
			return f.take(l, n-1)
		}
	}
	return Item[T]{}
}
