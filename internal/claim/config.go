package claim

import "time"

// Config bounds a Machine. The zero value of a field takes its default.
type Config struct {
	// Incarnation and Address name this process in its claims.
	Incarnation string
	Address     string
	// MaxKeys is how many keys are remembered.
	MaxKeys int
	// MaxBodyBytes is the most of one answer that is kept for replay.
	MaxBodyBytes int
	// MaxHeldBytes is the most bytes of answers held in memory.
	MaxHeldBytes int
	// Window is how long a key is remembered.
	Window time.Duration
	// RepeatHorizon is the longest time over which callers repeat a request
	// whose key carries no date.
	RepeatHorizon time.Duration
	// MaxClockSkew bounds the difference between any two wall clocks,
	// callers' included.
	MaxClockSkew time.Duration
	// ClaimTimeout is how long a request waits for its claim to be decided.
	ClaimTimeout time.Duration
	// MaxBatchRecords, MaxBatchBytes and MaxBatchAge flush a batch.
	MaxBatchRecords int
	MaxBatchBytes   int
	MaxBatchAge     time.Duration
	// MaxInFlight is how many appends may be unanswered at once.
	MaxInFlight int
	// MaxQueue is how many records may wait for the log.
	MaxQueue int
	// RetryDelay is the wait after an append that the log refused.
	RetryDelay time.Duration
}

func (c Config) withDefaults() Config {
	setDefault(&c.MaxKeys, 32768)
	setDefault(&c.MaxBodyBytes, 32<<10)
	setDefault(&c.MaxHeldBytes, 8<<20)
	setDefault(&c.Window, 24*time.Hour)
	setDefault(&c.RepeatHorizon, 10*time.Minute)
	setDefault(&c.MaxClockSkew, 10*time.Second)
	setDefault(&c.ClaimTimeout, 2*time.Second)
	setDefault(&c.MaxBatchRecords, 256)
	setDefault(&c.MaxBatchBytes, 192<<10)
	setDefault(&c.MaxBatchAge, 5*time.Millisecond)
	setDefault(&c.MaxInFlight, 2)
	setDefault(&c.MaxQueue, 4096)
	setDefault(&c.RetryDelay, 200*time.Millisecond)
	return c
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}
