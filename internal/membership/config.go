package membership

import (
	"time"

	"github.com/mastictray/mastictray/internal/wire"
)

// Config configures a View. Zero fields take their defaults.
type Config struct {
	// Self is this process.
	Self wire.Identity
	// StartMillis is the wall clock at the start of the process, in Unix
	// milliseconds. It orders the processes under one instance name. If the clock
	// was set back, the process corrects its generation by what peers remember.
	StartMillis int64
	// Seeds are configured peer addresses.
	Seeds []string
	// PingInterval is the time between rounds of pings.
	PingInterval time.Duration
	// MonitoredSuccessors is the number of ring successors that are monitored and
	// pinged in each round, RandomPings the number of random members pinged.
	MonitoredSuccessors int
	RandomPings         int
	// Fanout is the number of peers to which a new record is pushed.
	Fanout int
	// SilenceTimeout is how long a monitored peer may leave pings unanswered before
	// it counts as silent.
	SilenceTimeout time.Duration
	// ForgetAfter is how long silent members and targets that are gone are kept.
	ForgetAfter time.Duration
	// MinListInterval is the minimum mean interval between reads of the list. A long
	// list is read less often, to stay within ListBytesPerSecond; in between, records
	// arrive from other instances that read it.
	MinListInterval    time.Duration
	ListBytesPerSecond float64
	// PauseGap is the gap between ticks above which the process counts as having been
	// paused.
	PauseGap time.Duration
	// RefreshTimeout bounds the wait for new information after a pause.
	RefreshTimeout time.Duration
}

func (c Config) withDefaults() Config {
	setDefault(&c.PingInterval, 300*time.Millisecond)
	setDefault(&c.MonitoredSuccessors, 2)
	setDefault(&c.RandomPings, 1)
	setDefault(&c.Fanout, 4)
	setDefault(&c.SilenceTimeout, 1500*time.Millisecond)
	setDefault(&c.ForgetAfter, 10*time.Minute)
	setDefault(&c.MinListInterval, 500*time.Millisecond)
	setDefault(&c.ListBytesPerSecond, 12<<10)
	setDefault(&c.PauseGap, time.Second)
	setDefault(&c.RefreshTimeout, time.Second)
	return c
}

func setDefault[T int | float64 | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}
