package fairqueue

import (
	"math"
	"time"
)

// class is a fair queue over accounts. A Queue has one class or, with
// Options.UrgencyFirst, one for each urgency and one for late items.
type class[T any] struct {
	flows  map[string]*flow[T]
	active []*flow[T]
	// virtualTime is the start tag of the item served last.
	virtualTime float64
	count       int
	cost        float64
	// pruneAt is the number of flows at which idle ones are removed.
	pruneAt int

	arrivals arrivalMeter
	// floorShare is the share of the work that the class gets even while more urgent
	// items wait.
	floorShare float64
	// floorTag is the work of the queue up to which the class has had its floor.
	floorTag float64
	// cursorTag is floorTag as if all items before the cursor had been served.
	cursorTag float64
}

func newClass[T any]() *class[T] {
	return &class[T]{flows: map[string]*flow[T]{}, pruneAt: 2 * maxIdleFlows}
}

// push adds an item. work is the work that the queue has served so far.
func (c *class[T]) push(it Item[T], work float64) {
	if c.count == 0 {
		c.floorTag = work
	}
	f := c.flowFor(&it)
	if f.count == 0 {
		c.activate(f)
	}
	f.push(it)
	c.count++
	c.cost += it.Cost
}

// flowFor returns the flow of the item's account and creates it if necessary.
func (c *class[T]) flowFor(it *Item[T]) *flow[T] {
	f := c.flows[it.Account]
	if f == nil {
		if len(c.flows) >= c.pruneAt {
			c.pruneIdleFlows()
			c.pruneAt = 2 * max(maxIdleFlows, len(c.flows))
		}
		f = &flow[T]{startTag: c.virtualTime}
		c.flows[it.Account] = f
	}
	return f
}

// activate adds a flow that had no waiting items. Its start tag must not lie before the
// virtual time: otherwise an idle account would accumulate credit and later delay the
// others.
func (c *class[T]) activate(f *flow[T]) {
	f.startTag = max(f.startTag, c.virtualTime)
	c.active = append(c.active, f)
}

// itemRemoved updates the totals after an item was removed from a flow.
func (c *class[T]) itemRemoved(f *flow[T], cost float64) {
	c.count--
	c.cost -= cost
	if f.count > 0 {
		return
	}
	for i, a := range c.active {
		if a == f {
			last := len(c.active) - 1
			c.active[i] = c.active[last]
			c.active = c.active[:last]
			break
		}
	}
	if c.count == 0 {
		c.cost = 0
		if len(c.flows) > maxIdleFlows {
			c.pruneIdleFlows()
		}
	}
}

// maxIdleFlows is the number of flows above which idle ones are removed.
const maxIdleFlows = 1024

// pruneIdleFlows removes the flows that would start at the current virtual time anyway,
// so that inactive accounts use no memory.
func (c *class[T]) pruneIdleFlows() {
	for name, f := range c.flows {
		if f.count == 0 && f.startTag <= c.virtualTime {
			delete(c.flows, name)
		}
	}
}

// largestFlow returns the flow with the most items for its weight.
func (c *class[T]) largestFlow() *flow[T] {
	largest := c.active[0]
	for _, f := range c.active[1:] {
		if float64(f.count)/f.weight > float64(largest.count)/largest.weight {
			largest = f
		}
	}
	return largest
}

// costAhead returns the cost of the class's items that are expected to be served before a
// new one: the account is served at its share of the class or faster, and never waits
// longer than for the whole class.
func (c *class[T]) costAhead(it *Item[T]) float64 {
	weights, ahead := it.weight(), 0.0
	for _, f := range c.active {
		if f.account == it.Account {
			ahead = f.costAhead(it.level())
			continue
		}
		weights += f.weight
	}
	return min(ahead*weights/it.weight(), c.cost)
}

// accountBacklog returns the cost that is served before all waiting items of an account are.
func (c *class[T]) accountBacklog(account string, weight float64) float64 {
	return c.costAhead(&Item[T]{Account: account, Weight: weight})
}

// startScan places the cursors at the first items.
func (c *class[T]) startScan() {
	c.cursorTag = c.floorTag
	for _, f := range c.active {
		f.resetCursor()
	}
}

// next returns the flow with the lowest virtual time among those with an item at their
// cursor, and that item.
func (c *class[T]) next() (*flow[T], *Item[T]) {
	var next *flow[T]
	var item *Item[T]
	for _, f := range c.active {
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
func (c *class[T]) serve(f *flow[T], cost float64) {
	f.remove(f.cursor.level, f.cursor.index)
	c.virtualTime = max(c.virtualTime, f.startTag)
	f.startTag += cost / f.weight
	c.itemRemoved(f, cost)
}

// floorDue reports by how much work the class's floor is behind if its next item is not
// served now; negative if it isn't.
func (c *class[T]) floorDue(work, cost float64) float64 {
	if c.floorShare <= 0 {
		return math.Inf(-1)
	}
	return work - c.cursorTag - cost/c.floorShare
}

// nextFloorTag returns the floor tag after an item was served. Work that the class gets
// beyond its floor is not held against it later.
func (c *class[T]) nextFloorTag(tag, work, cost float64) float64 {
	if c.floorShare <= 0 {
		return work
	}
	return min(tag+cost/c.floorShare, work)
}

// demand returns the rate at which cost arrives, in tokens per second. Items that have
// waited since before the averaging window still count.
func (c *class[T]) demand(now time.Duration) float64 {
	return max(c.arrivals.rate(now), c.cost/arrivalWindow.Seconds())
}

// arrivalWindow is the time constant of the average arrival rate of a class.
const arrivalWindow = 2 * time.Second

// arrivalMeter measures the rate at which cost arrives.
type arrivalMeter struct {
	tokens float64
	at     time.Duration
}

func (m *arrivalMeter) add(now time.Duration, cost float64) {
	m.tokens = m.decayed(now) + cost
	m.at = max(m.at, now)
}

func (m *arrivalMeter) rate(now time.Duration) float64 {
	return m.decayed(now) / arrivalWindow.Seconds()
}

func (m *arrivalMeter) decayed(now time.Duration) float64 {
	return m.tokens * math.Exp(-max(0, (now-m.at).Seconds())/arrivalWindow.Seconds())
}
