package rollout

import "time"

// Settings bound a rollout in time and damage.
type Settings struct {
	// MaxOrderDelay is the longest time that an order sent can still be under way
	// to its target.
	MaxOrderDelay time.Duration
	// ResendInterval is the time between two sends of the same order.
	ResendInterval time.Duration
	// ReproposeAfter is the time after which a record that was not folded is
	// appended again.
	ReproposeAfter time.Duration
	// MaxObservationAge is how old an observation may be for its target to count as
	// serving.
	MaxObservationAge time.Duration
	// LoadTimeout is how long a target may take to reach the version.
	LoadTimeout time.Duration
	// SoakTime is how long a target has to serve the version before another
	// one takes its place among those that load.
	SoakTime time.Duration
	// RetryAfter is the time before a target that failed is ordered again.
	RetryAfter time.Duration
	// MaxFailedTargets is how many different targets may fail on a version
	// before it is halted and rolled back.
	MaxFailedTargets int
	// RestateInterval is how often the state of a pool is written again. It has to
	// be well under the log's retention.
	RestateInterval time.Duration
}

// DefaultSettings fit targets that load in about a second.
var DefaultSettings = Settings{
	MaxOrderDelay:           2 * time.Second,
	ResendInterval:           time.Second,
	ReproposeAfter:        time.Second,
	MaxObservationAge:            3 * time.Second,
	LoadTimeout:      30 * time.Second,
	SoakTime:             3 * time.Second,
	RetryAfter:       30 * time.Second,
	MaxFailedTargets: 2,
	RestateInterval:          30 * time.Minute,
}
