package configvalidity

import "time"

// Verdict tells whether a configuration may be used.
type Verdict int

const (
	// Valid configurations may be used.
	Valid Verdict = iota
	// Overdue means that a newer configuration is known and may have to be active by now.
	Overdue
	// Unconfirmed means that the instance can't know of a newer configuration.
	Unconfirmed
)

// String returns the reason with which requests are refused; it is empty for Valid.
func (v Verdict) String() string {
	return [...]string{"", "config_overdue", "config_unconfirmed"}[v]
}

// overdueFraction is the fraction of the bound after which a configuration needs
// evidence to be used on. The rest is for a request's way to its target.
const overdueFraction = 0.9

// OverdueAge returns the age of the last contact with the store from which a newer
// configuration may have to be active.
func OverdueAge(bound time.Duration) time.Duration {
	return time.Duration(overdueFraction * float64(bound))
}

// Evidence is what an instance knows beyond the age of its last contact with the store.
type Evidence struct {
	// NewerKnown is set if a newer configuration is known to exist.
	NewerKnown bool
	// StoreRefused is set if the store has answered this instance with an error since the
	// last contact: it is reachable but doesn't serve.
	StoreRefused bool
	// HearsFleet is set if the instance receives its peers' updates; see Fleet.Hears.
	HearsFleet bool
}

// Judge returns the verdict on a configuration of an instance whose last contact with the
// store is older than OverdueAge.
func Judge(e Evidence) Verdict {
	switch {
	case e.NewerKnown:
		return Overdue
	case e.StoreRefused || e.HearsFleet:
		return Valid
	}
	return Unconfirmed
}
