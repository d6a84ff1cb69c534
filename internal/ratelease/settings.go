package ratelease

import "time"

// Settings, except for Self, must be the same on every instance of a fleet.
type Settings struct {
	// Self is the incarnation of this process.
	Self string
	// GrantLifetime is how long a granter keeps its limit lowered by tokens that
	// it sent. The receiver must spend them before that.
	GrantLifetime time.Duration
	// MaxClockDrift bounds how much the speed of any clock differs from true time,
	// as a fraction.
	MaxClockDrift float64
	// MaxWait bounds how long a request waits for tokens.
	MaxWait time.Duration
	// StartWait is the age of an account's state below which a request goes on waiting for tokens
	// while no peer has reported its own. A process that has just started has none, and would
	// refuse requests within the account's rate.
	StartWait time.Duration
	// TokenRequestInterval is the least time between two rounds of token requests
	// for one account while a request waits.
	TokenRequestInterval time.Duration
	// FanOut is the largest number of peers that get a token request in one round.
	FanOut int
	// MaxDispatchDelay is how long after its debit a request may be sent to a
	// target.
	MaxDispatchDelay time.Duration
}

// DefaultSettings returns the default settings for an instance.
func DefaultSettings(self string) Settings {
	return Settings{
		Self:                 self,
		GrantLifetime:        200 * time.Millisecond,
		MaxClockDrift:        0.001,
		MaxWait:              300 * time.Millisecond,
		StartWait:            time.Second,
		TokenRequestInterval: 20 * time.Millisecond,
		FanOut:               5,
		MaxDispatchDelay:     100 * time.Millisecond,
	}
}

// creditLifetime is how long a receiver may spend a grant, counted by its own
// clock from before it sent the token request. The two clocks may drift in
// opposite directions.
func (s Settings) creditLifetime() time.Duration {
	return time.Duration(float64(s.GrantLifetime) * (1 - 2*s.MaxClockDrift))
}

// issueDelay is how long a new holder of an allocation waits before it issues
// tokens. By then the grants that the previous holder sent have expired.
func (s Settings) issueDelay() time.Duration {
	return time.Duration(float64(s.GrantLifetime) * (1 + 2*s.MaxClockDrift))
}

// Allocation is a fraction of every account's rate and burst that this instance
// issues while it holds the lease.
type Allocation struct {
	// Name identifies the allocation.
	Name string
	// StartFull is true if nobody has held the allocation before: it then starts
	// with its fraction of every burst, otherwise with nothing.
	StartFull bool
	// Fraction of the account's rate and burst, above 0 and at most 1.
	Fraction float64
	// Since is when this process acquired the allocation. Issuing starts one
	// GrantLifetime later, plus an allowance for clock drift.
	Since time.Duration
	// Until is when the allocation ends unless it is renewed.
	Until time.Duration
}
