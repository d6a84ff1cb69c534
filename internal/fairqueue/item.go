package fairqueue

import "time"

// MaxPriority is the highest priority of an item; 0 is the lowest.
const MaxPriority = 9

// Item is a waiting request. Times are on the monotonic clock of the process.
type Item[T any] struct {
	// ID identifies the item for Cancel.
	ID      uint64
	Account string
	// Weight is the account's weight in fair queueing; 0 means 1.
	Weight float64
	// Priority orders the items of one account, with Options.UrgencyFirst those of all
	// accounts, highest first.
	Priority int
	// Cost is the number of tokens charged when the request is served.
	Cost float64
	// Deadline is when the first byte of the answer is due; 0 means no deadline.
	Deadline time.Duration
	// SoftDeadline is the latest time at which the request should be served; 0 means
	// no soft deadline. After it, the item waits behind all others of its account, with
	// Options.UrgencyFirst of all accounts, so that in overload some requests are served
	// on time instead of all of them late.
	SoftDeadline time.Duration
	// MinServiceTime is the shortest time from Pop to the first byte of the answer.
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

// isLate reports whether the soft deadline has passed.
func (it *Item[T]) isLate(now time.Duration) bool {
	return it.SoftDeadline != 0 && now > it.SoftDeadline
}

// missesDeadline reports whether the item cannot meet its deadline if it is served
// after the given wait.
func (it *Item[T]) missesDeadline(now, wait time.Duration) bool {
	return it.Deadline > 0 && now+wait+it.MinServiceTime > it.Deadline
}

// Reason is why an item was refused. A refused item has not been served.
type Reason string

// The reasons for a refusal.
const (
	// ReasonDeadline means that the item cannot meet its deadline.
	ReasonDeadline Reason = "deadline"
	// ReasonFull means that the queue is full and the item's account uses the largest
	// part of it for its weight.
	ReasonFull Reason = "queue_full"
)

// Refusal is an item that is removed without being served.
type Refusal[T any] struct {
	Item   Item[T]
	Reason Reason
	// RetryAfter is how long the caller should wait before it retries.
	RetryAfter time.Duration
}
