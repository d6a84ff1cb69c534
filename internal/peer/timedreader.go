package peer

import (
	"io"
	"sync/atomic"
	"time"
)

// timedReader records when data last arrived.
type timedReader struct {
	r    io.Reader
	last atomic.Int64 // Unix time in nanoseconds; 0 before the first data
}

// Read implements io.Reader.
func (t *timedReader) Read(b []byte) (int, error) {
	n, err := t.r.Read(b)
	if n > 0 {
		t.last.Store(time.Now().UnixNano())
	}
	return n, err
}

// lastRead returns the time at which data last arrived.
func (t *timedReader) lastRead() time.Time { return time.Unix(0, t.last.Load()) }
