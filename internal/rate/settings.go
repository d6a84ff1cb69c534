package rate

import "time"

// Settings are the same on every instance of a fleet.
type Settings struct {
	// Self is the incarnation of this process.
	Self string
	// Lifetime is how long a granter keeps its cap lowered by the tokens it
	// sent; the receiver spends them before.
	Lifetime time.Duration
	// Drift bounds how much any two clocks' speeds differ from true time,
	// as a part of one.
	Drift float64
	// MaxWait bounds how long a request waits for tokens.
	MaxWait time.Duration
	// AskInterval is the least time between two rounds of asks for one
	// account while a request waits.
	AskInterval time.Duration
	// FanOut is the most peers asked in one round.
	FanOut int
	// DispatchWithin is how long after its debit a request may be sent to a
	// target.
	DispatchWithin time.Duration
}

// DefaultSettings are the settings used unless the operator chooses others.
func DefaultSettings(self string) Settings {
	return Settings{
		Self:           self,
		Lifetime:       200 * time.Millisecond,
		Drift:          0.001,
		MaxWait:        300 * time.Millisecond,
		AskInterval:    20 * time.Millisecond,
		FanOut:         5,
		DispatchWithin: 100 * time.Millisecond,
	}
}

// creditFor is how long a receiver may spend a grant, counted by its own
// clock from before it asked. Both clocks may be off in opposite directions.
func (s Settings) creditFor() time.Duration {
	return time.Duration(float64(s.Lifetime) * (1 - 2*s.Drift))
}

// startDelay is how long a new holder of a part waits before it mints: grants
// that the part's last holder sent are gone by then.
func (s Settings) startDelay() time.Duration {
	return time.Duration(float64(s.Lifetime) * (1 + 2*s.Drift))
}

// Allocation is a fraction of every account's rate and burst that this instance
// mints while it holds the lease.
type Allocation struct {
	// Name tells parts apart.
	Name string
	// StartFull says that nobody has held the part before: it begins with its
	// part of every burst, else with nothing.
	StartFull bool
	// Fraction of the account's rate and burst, above 0 and at most 1.
	Fraction float64
	// Since is when this process came to hold the part. Minting starts one
	// Lifetime later.
	Since time.Duration
	// Until is when the right to the part ends unless renewed.
	Until time.Duration
}
