package membership

import (
	"time"

	"github.com/mastictray/mastictray/internal/wire"
)

// Config bounds a View. Zero fields take their defaults.
type Config struct {
	// Self is this process.
	Self wire.Identity
	// StartMillis is the wall clock at the start, in Unix milliseconds. It
	// orders the processes under one instance name; a clock that went back
	// is made up for by what peers remember.
	StartMillis int64
	// Seeds are peer addresses from the settings.
	Seeds []string
	// BeatEvery is the time between pings.
	BeatEvery time.Duration
	// Watched is how many ring successors are pinged at each beat, and
	// Random how many others.
	Watched int
	Random  int
	// Fanout is how many peers each new fact is pushed to.
	Fanout int
	// SilentAfter is how long a watched peer may leave pings unanswered.
	SilentAfter time.Duration
	// ForgetAfter drops members that were silent for so long.
	ForgetAfter time.Duration
	// ListEvery is the least time between two reads of the list; a long
	// list is read less often, to stay within ListBytesPerSecond. Other
	// instances read it in between, and their facts arrive as news.
	ListEvery          time.Duration
	ListBytesPerSecond float64
	// ThawGap is the time between two ticks from which on the process counts
	// as having been paused.
	ThawGap time.Duration
	// ThawWait bounds the wait for news after a pause.
	ThawWait time.Duration
}

func (c Config) withDefaults() Config {
	setDefault(&c.BeatEvery, 300*time.Millisecond)
	setDefault(&c.Watched, 2)
	setDefault(&c.Random, 1)
	setDefault(&c.Fanout, 4)
	setDefault(&c.SilentAfter, 1500*time.Millisecond)
	setDefault(&c.ForgetAfter, 10*time.Minute)
	setDefault(&c.ListEvery, 500*time.Millisecond)
	setDefault(&c.ListBytesPerSecond, 12<<10)
	setDefault(&c.ThawGap, time.Second)
	setDefault(&c.ThawWait, time.Second)
	return c
}

func setDefault[T int | float64 | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}
