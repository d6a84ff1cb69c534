package rollout

import "time"

// Settings bound a rollout in time and damage.
type Settings struct {
	// Margin is the longest time that an order sent can still be under way
	// to its target.
	Margin time.Duration
	// Resend is the time between two sends of the same order.
	Resend time.Duration
	// Repropose is the time after which a record that was not folded is
	// appended again.
	Repropose time.Duration
	// Fresh is how old an observation may be for its target to count as
	// serving.
	Fresh time.Duration
	// LoadTimeout is how long a target may take to reach the version.
	LoadTimeout time.Duration
	// Soak is how long a target has to serve the version before another
	// one takes its place among those that load.
	Soak time.Duration
	// RetryAfter is the time before a target that failed is ordered again.
	RetryAfter time.Duration
	// MaxFailedTargets is how many different targets may fail on a version
	// before it is halted and rolled back.
	MaxFailedTargets int
	// Restate is how often the state of a pool is written again. It has to
	// be well under the log's retention.
	Restate time.Duration
}

// DefaultSettings fit targets that load in about a second.
var DefaultSettings = Settings{
	Margin:           2 * time.Second,
	Resend:           time.Second,
	Repropose:        time.Second,
	Fresh:            3 * time.Second,
	LoadTimeout:      30 * time.Second,
	Soak:             3 * time.Second,
	RetryAfter:       30 * time.Second,
	MaxFailedTargets: 2,
	Restate:          30 * time.Minute,
}
