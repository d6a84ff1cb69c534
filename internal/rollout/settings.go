package rollout

import "time"

// Settings bound the duration and the damage of a rollout.
type Settings struct {
	// MaxOrderDelay is the longest time that a sent order may take to reach its
	// target.
	MaxOrderDelay time.Duration
	// ResendInterval is the time between two sends of the same order.
	ResendInterval time.Duration
	// ReproposeAfter is the time after which a record that was not read back is
	// appended again.
	ReproposeAfter time.Duration
	// MaxObservationAge is the age up to which an observation is used.
	MaxObservationAge time.Duration
	// LoadTimeout is how long a target may take to serve the version.
	LoadTimeout time.Duration
	// SoakTime is how long a target has to serve the version before its load
	// slot is freed for another target.
	SoakTime time.Duration
	// RetryAfter is the time before a target that failed on a version is
	// ordered to load it again.
	RetryAfter time.Duration
	// MaxFailedTargets is how many different targets may fail on a version
	// before it is halted and rolled back.
	MaxFailedTargets int
	// RestateInterval is how often the state of a pool is written again. It
	// must be well below the log's retention.
	RestateInterval time.Duration
}

// DefaultSettings suit targets that load in about a second.
var DefaultSettings = Settings{
	MaxOrderDelay:     2 * time.Second,
	ResendInterval:    time.Second,
	ReproposeAfter:    time.Second,
	MaxObservationAge: 3 * time.Second,
	LoadTimeout:       30 * time.Second,
	SoakTime:          3 * time.Second,
	RetryAfter:        30 * time.Second,
	MaxFailedTargets:  2,
	RestateInterval:   30 * time.Minute,
}
