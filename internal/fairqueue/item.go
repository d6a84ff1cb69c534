package fairqueue

import "time"

// MaxPriority is the highest priority of an item; the lowest is 0.
const MaxPriority = 9

// Item is one waiting request. Times are monotonic, since the start of the
// process.
type Item[T any] struct {
	// ID names the item for Cancel.
	ID      uint64
	Account string
	// Weight is the account's part in fair queueing; 0 counts as 1.
	Weight float64
	// Priority orders items inside their account; higher first.
	Priority int
	// Cost is the tokens that the request is charged when it is served.
	Cost float64
	// Deadline is when the first byte of the answer is due; 0 for never.
	Deadline time.Duration
	// SoftDeadline is until when it is worth most to be served; 0 for always. After
	// that the item waits behind all others of its account: when there is
	// more than can be served, some are served in time instead of all late.
	SoftDeadline time.Duration
	// MinServiceTime is the least time from Pop to the first byte.
	MinServiceTime time.Duration
	Value          T
}

func (it *Item[T]) weight() float64 {
	if it.Weight <= 0 {
		return 1
	}
	return it.Weight
}

func (it *Item[T]) level() int { return min(max(it.Priority, 0), MaxPriority) }

// late reports whether the item misses its deadline when it is served after
// a further wait.
func (it *Item[T]) late(now, wait time.Duration) bool {
	return it.Deadline > 0 && now+wait+it.MinServiceTime > it.Deadline
}

// Reason says why an item was refused. A refused item was not served.
type Reason string

// The reasons for a refusal.
const (
	// ReasonDeadline: the item cannot make its deadline.
	ReasonDeadline Reason = "deadline"
	// ReasonFull: the queue is full and the item's account holds the most
	// of it.
	ReasonFull Reason = "queue_full"
)

// Refusal is an item that will not be served.
type Refusal[T any] struct {
	Item   Item[T]
	Reason Reason
	// RetryAfter is how long the caller should wait before it tries again.
	RetryAfter time.Duration
}
