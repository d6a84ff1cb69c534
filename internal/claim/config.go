package claim

import "time"

// DefaultMaxBodyBytes is the size above which a response body is not stored for replay by default.
const DefaultMaxBodyBytes = 32 << 10

// Config holds the settings of a Machine. Fields that are zero get a default, except
// Incarnation and Address.
type Config struct {
	// Incarnation and Address identify this process in its claims.
	Incarnation string
	Address     string
	// MaxKeys is the maximum number of keys kept. Beyond it the oldest are dropped.
	MaxKeys int
	// MaxBodyBytes is the size above which a response body is not stored for replay.
	MaxBodyBytes int
	// MaxHeldBytes bounds the total size of response bodies held in memory.
	MaxHeldBytes int
	// Window is how long a key is kept.
	Window time.Duration
	// RepeatHorizon is the longest time over which callers retry a request whose key
	// contains no creation time.
	RepeatHorizon time.Duration
	// MaxClockSkew bounds the difference between any two wall clocks, including
	// those of callers.
	MaxClockSkew time.Duration
	// ClaimTimeout is how long a request waits until its claim is decided.
	ClaimTimeout time.Duration
	// A batch is appended when it reaches MaxBatchRecords, MaxBatchBytes or
	// MaxBatchAge.
	MaxBatchRecords int
	MaxBatchBytes   int
	MaxBatchAge     time.Duration
	// MaxInFlight is the maximum number of concurrent appends.
	MaxInFlight int
	// MaxQueue is the maximum number of queued records before claims are refused;
	// results and abandons may fill twice as much.
	MaxQueue int
	// RetryDelay is the delay after a failed append.
	RetryDelay time.Duration
}

func (c Config) withDefaults() Config {
	setDefault(&c.MaxKeys, 32768)
	setDefault(&c.MaxBodyBytes, DefaultMaxBodyBytes)
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
