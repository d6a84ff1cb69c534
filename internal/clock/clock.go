// Package clock provides a monotonic clock that also counts while the machine is
// suspended.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock measures the time since its creation. Unlike Go's monotonic clock it
// advances while the machine is suspended: the age of a lease or configuration
// must grow while other instances act on theirs.
type Clock struct{ start time.Duration }

// New returns a clock that starts at zero.
func New() Clock { return Clock{start: boottime()} }

// Now returns the time since the clock was created.
func (c Clock) Now() time.Duration { return boottime() - c.start }

func boottime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The call fails only on a kernel without this clock, where no age would
		// be reliable.
		panic(err)
	}
	return time.Duration(ts.Nano())
}
