package poison

import "time"

// Config holds the limits and timeouts of a Registry. Zero fields take their
// defaults.
type Config struct {
	// Self is the incarnation of this instance, by which its peers address it.
	Self string
	// SuspectTTL is how long a crash counts against a fingerprint.
	SuspectTTL time.Duration
	// QuarantineTTL is how long a quarantined fingerprint is refused.
	QuarantineTTL time.Duration
	// MaxCrashes and MaxSuspects bound the memory; the oldest entries are evicted
	// first.
	MaxCrashes  int
	MaxSuspects int
	// AckTimeout bounds how long the requests of a crashed target are held until
	// the peers have acknowledged the crash.
	AckTimeout time.Duration
	// PermitTTL is how long a permit stays valid without a PoisonPermitRenewal.
	// Holders send one every third of it.
	PermitTTL time.Duration
	// PermitRequestTimeout bounds the wait for a permit.
	PermitRequestTimeout time.Duration
}

func (c Config) withDefaults() Config {
	setDefault(&c.SuspectTTL, 10*time.Minute)
	setDefault(&c.QuarantineTTL, time.Hour)
	setDefault(&c.MaxCrashes, 256)
	setDefault(&c.MaxSuspects, 8192)
	setDefault(&c.AckTimeout, 300*time.Millisecond)
	setDefault(&c.PermitTTL, 3*time.Second)
	setDefault(&c.PermitRequestTimeout, 5*time.Second)
	return c
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}
