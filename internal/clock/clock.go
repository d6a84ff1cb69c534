// Package clock reads the time that decisions are made by.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock gives the time since it was made. Unlike the runtime's monotonic clock
// it goes on while the machine is suspended: the age of a lease or of a
// configuration must not stand still while others act on theirs.
type Clock struct{ start time.Duration }

// New starts a clock at zero.
func New() Clock { return Clock{start: boottime()} }

// Now is the time since the clock was made.
func (c Clock) Now() time.Duration { return boottime() - c.start }

func boottime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The call fails only on a kernel without this clock, where no age
		// could be trusted.
		panic(err)
	}
	return time.Duration(ts.Nano())
}
