package entry

import "time"

// clock is the time source of the drivers. Decisions use monotonic time since the
// start of the process.
type clock struct{ start time.Time }

func newClock() clock { return clock{start: time.Now()} }

// now returns the monotonic time since the process started.
func (c clock) now() time.Duration { return time.Since(c.start) }

// wallMillis returns Unix time in milliseconds, for times that other processes or
// people read.
func (c clock) wallMillis() int64 { return time.Now().UnixMilli() }
