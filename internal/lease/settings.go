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
	// RenewInterval is how often a holder renews.
	RenewInterval time.Duration
	// Margin is kept between the end of a holder's right and the first
	// moment at which another may hold.
	Margin time.Duration
	// HoldTime is how long the floor of a lost lease stays with its last
	// holder, and the most that promises extend a lease.
	HoldTime time.Duration
	// PromiseTime is how long one promise lasts.
	PromiseTime time.Duration
	// MaxDrift bounds how much any two clocks' speeds differ from true time,
	// as a part of one.
	MaxDrift float64
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
		RenewInterval: 3 * time.Second,
		Margin:     500 * time.Millisecond,
		HoldTime:       6 * time.Hour,
		PromiseTime: 9 * time.Second,
		MaxDrift:      0.001,
		Stagger:    150 * time.Millisecond,
	}
}

// use is how much of a span a holder may use by its own clock.
func (s Settings) use(span time.Duration) time.Duration {
	return time.Duration(float64(span)*(1-2*s.MaxDrift)) - s.Margin
}

// wait is how long another waits for the same span by its own clock.
func (s Settings) wait(span time.Duration) time.Duration {
	return time.Duration(float64(span)*(1+2*s.MaxDrift)) + s.Margin
}
