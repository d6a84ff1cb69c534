package entry

import "time"

// clock is the one place where the process reads the time. Decisions get
// monotonic time since the start of the process.
type clock struct{ start time.Time }

func newClock() clock { return clock{start: time.Now()} }

// now is the monotonic time since the process started.
func (c clock) now() time.Duration { return time.Since(c.start) }

// wallMillis is Unix time in milliseconds, for records that people read.
func (c clock) wallMillis() int64 { return time.Now().UnixMilli() }
