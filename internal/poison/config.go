package poison

import "time"

// Config bounds a Registry. Zero fields take their defaults.
type Config struct {
	// Self is this instance's incarnation, as its peers call it.
	Self string
	// SuspectTTL is how long a crash counts against a fingerprint.
	SuspectTTL time.Duration
	// QuarantineTTL is how long a fingerprint stays refused.
	QuarantineTTL time.Duration
	// MaxCrashes and MaxSuspects bound the memory; the oldest go first.
	MaxCrashes  int
	MaxSuspects int
	// HoldBound is the longest that requests of a crashed target wait for
	// the peers to know of the crash.
	HoldBound time.Duration
	// PermitTTL is how long a permit lives without a hold message; holds
	// are sent at a third of it.
	PermitTTL time.Duration
	// AskTimeout is the longest wait for a permit.
	AskTimeout time.Duration
}

func (c Config) withDefaults() Config {
	setDefault(&c.SuspectTTL, 10*time.Minute)
	setDefault(&c.QuarantineTTL, time.Hour)
	setDefault(&c.MaxCrashes, 256)
	setDefault(&c.MaxSuspects, 8192)
	setDefault(&c.HoldBound, 300*time.Millisecond)
	setDefault(&c.PermitTTL, 3*time.Second)
	setDefault(&c.AskTimeout, 5*time.Second)
	return c
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}
