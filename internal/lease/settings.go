package lease

import "time"

// Settings of the lease protocol. All but Self and Wanted must be the same on
// every instance of a fleet.
type Settings struct {
	Self Member
	// Wanted are the resources that this instance holds when it can.
	Wanted []Resource
	// TTL is how long others wait after a holder's last record.
	TTL time.Duration
	// RenewEvery is how often a holder renews.
	RenewEvery time.Duration
	// Margin is kept between the end of a holder's right and the first
	// moment at which another may hold.
	Margin time.Duration
	// Hold is how long the floor of a lost lease stays with its last
	// holder, and the most that promises extend a lease.
	Hold time.Duration
	// PromiseFor is how long one promise lasts.
	PromiseFor time.Duration
	// Drift bounds how much any two clocks' speeds differ from true time,
	// as a part of one.
	Drift float64
	// Stagger is the delay between candidates of one resource, so that a
	// lapse does not make the whole fleet append at once.
	Stagger time.Duration
}

// DefaultSettings are the settings used unless the operator chooses others.
func DefaultSettings(self Member, wanted []Resource) Settings {
	return Settings{
		Self:       self,
		Wanted:     wanted,
		TTL:        9 * time.Second,
		RenewEvery: 3 * time.Second,
		Margin:     500 * time.Millisecond,
		Hold:       6 * time.Hour,
		PromiseFor: 9 * time.Second,
		Drift:      0.001,
		Stagger:    150 * time.Millisecond,
	}
}

// use is how much of a span a holder may use by its own clock.
func (s Settings) use(span time.Duration) time.Duration {
	return time.Duration(float64(span)*(1-2*s.Drift)) - s.Margin
}

// wait is how long another waits for the same span by its own clock.
func (s Settings) wait(span time.Duration) time.Duration {
	return time.Duration(float64(span)*(1+2*s.Drift)) + s.Margin
}
