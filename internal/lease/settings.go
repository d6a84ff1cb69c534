package lease

import "time"

// Settings configure the lease protocol. All but Self and Wanted must be equal
// on every instance of a fleet.
type Settings struct {
	Self Member
	// Wanted lists the resources that this instance acquires when it can.
	Wanted []Resource
	// TTL is how long other instances wait after a holder's last record before
	// they may take its lease over.
	TTL time.Duration
	// RenewInterval is the time between two renewals.
	RenewInterval time.Duration
	// Margin is the safety margin between the end of a lease's validity and the
	// first moment at which another instance may hold it.
	Margin time.Duration
	// HoldTime is how long a holder that lost its lease may go on to use the
	// floor. It also bounds how long promises extend a lease.
	HoldTime time.Duration
	// PromiseTime is how long one promise lasts.
	PromiseTime time.Duration
	// MaxDrift bounds how far the rate of any clock differs from true time, as
	// a fraction.
	MaxDrift float64
	// Stagger is the delay between successive candidates for a resource, so
	// that not the whole fleet appends at once when a lease expires.
	Stagger time.Duration
}

// DefaultSettings returns the settings used unless the operator sets others.
func DefaultSettings(self Member, wanted []Resource) Settings {
	return Settings{
		Self:          self,
		Wanted:        wanted,
		TTL:           9 * time.Second,
		RenewInterval: 3 * time.Second,
		Margin:        500 * time.Millisecond,
		HoldTime:      6 * time.Hour,
		PromiseTime:   9 * time.Second,
		MaxDrift:      0.001,
		Stagger:       150 * time.Millisecond,
	}
}

// usableTime returns how much of a span a holder may use by its own clock.
func (s Settings) usableTime(span time.Duration) time.Duration {
	return time.Duration(float64(span)*(1-2*s.MaxDrift)) - s.Margin
}

// waitTime returns how long another instance must wait for the same span by its
// own clock.
func (s Settings) waitTime(span time.Duration) time.Duration {
	return time.Duration(float64(span)*(1+2*s.MaxDrift)) + s.Margin
}
