package fairqueue

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

// popFirst removes the oldest item of the highest level.
func (f *flow[T]) popFirst() Item[T] {
	for l := MaxPriority; l > 0; l-- {
		if len(f.levels[l]) > 0 {
			return f.take(l, 0)
		}
	}
	return f.take(0, 0)
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
