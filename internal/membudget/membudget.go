// Package membudget divides the memory of an instance, so that thousands of slow callers or large
// requests don't end the process and all that it serves.
//
// Memory that grows with the work is charged to a class. Each class has a guaranteed share, which
// the others leave to it, and a most that it may use while the others need less. What is above
// the budget is new work, which is refused; what serves a request that was accepted is charged
// in any case or waits. The control of the fleet, configurations and the process itself are not
// charged: a part of the memory is reserved for them.
//
// The package does no I/O and reads no clock.
package membudget

// Class is a kind of use.
type Class int

// The classes.
const (
	// Connections are the connections of callers with the buffers of the HTTP server.
	Connections Class = iota
	// Requests are requests from their arrival to their response, with their bodies.
	Requests
	// Responses is what is kept of responses for callers that read slowly.
	Responses
	// Relays are the connections relayed for peers.
	Relays
	classCount
)

func (c Class) String() string {
	return [...]string{"connections", "requests", "responses", "relays"}[c]
}

// Classes returns all classes.
func Classes() []Class { return []Class{Connections, Requests, Responses, Relays} }

const (
	// maxUse is the fraction of the instance's memory that is meant to be used at most. The
	// rest is for what estimates miss.
	maxUse = 0.8
	// reservedBytes is left to the process itself, its configuration and the state of the
	// fleet.
	reservedBytes = 48 << 20
	// minBudgetFraction is the fraction of the memory that is left for work however small the
	// memory is.
	minBudgetFraction = 0.25
)

// shares are the guaranteed and the greatest share of each class in the budget.
var shares = [classCount]struct{ guaranteed, most float64 }{
	Connections: {0.2, 0.5},
	Requests:    {0.25, 0.7},
	Responses:   {0.2, 0.4},
	Relays:      {0.05, 0.25},
}

// largeShare is the fraction of the greatest share of a class that large requests may use. The
// rest is left to small ones.
const largeShare = 0.55

// Budget is the accountant of one instance. It is not safe for concurrent use.
type Budget struct {
	total int64
	// unused classes have no guaranteed share.
	unused [classCount]bool
	used   [classCount]int64
	peak   int64
}

// New returns the budget of an instance with the given memory in bytes, which has no use for some of
// the classes.
func New(memory int64, unused ...Class) *Budget {
	m := float64(memory)
	b := &Budget{total: int64(max(maxUse*m-reservedBytes, minBudgetFraction*m))}
	for _, c := range unused {
		b.unused[c] = true
	}
	return b
}

// Total returns the budget in bytes.
func (b *Budget) Total() int64 { return b.total }

// Used returns the bytes charged to a class.
func (b *Budget) Used(c Class) int64 { return b.used[c] }

// Peak returns the most that was charged at a time to all classes.
func (b *Budget) Peak() int64 { return b.peak }

// Take charges bytes to a class if it may use them, and reports whether it did.
func (b *Budget) Take(c Class, bytes int64) bool {
	if b.used[c]+bytes > b.most(c) || b.usedAll()+bytes+b.keptForOthers(c) > b.total {
		return false
	}
	b.Charge(c, bytes)
	return true
}

// TakeLarge is Take for a large request: it leaves a part of the class to small ones.
func (b *Budget) TakeLarge(c Class, bytes int64) bool {
	if b.used[c]+bytes > int64(largeShare*float64(b.most(c))) {
		return false
	}
	return b.Take(c, bytes)
}

// Charge charges bytes to a class in any case: they are in use already.
func (b *Budget) Charge(c Class, bytes int64) {
	b.used[c] += bytes
	b.peak = max(b.peak, b.usedAll())
}

// Return ends a charge.
func (b *Budget) Return(c Class, bytes int64) { b.used[c] = max(0, b.used[c]-bytes) }

func (b *Budget) most(c Class) int64 { return int64(shares[c].most * float64(b.total)) }

func (b *Budget) guaranteed(c Class) int64 {
	if b.unused[c] {
		return 0
	}
	return int64(shares[c].guaranteed * float64(b.total))
}

func (b *Budget) usedAll() int64 {
	sum := int64(0)
	for _, n := range b.used {
		sum += n
	}
	return sum
}

// keptForOthers returns what the other classes have not used of their guaranteed shares.
func (b *Budget) keptForOthers(c Class) int64 {
	sum := int64(0)
	for other := range classCount {
		if other != c {
			sum += max(0, b.guaranteed(other)-b.used[other])
		}
	}
	return sum
}
