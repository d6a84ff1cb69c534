package logline

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// A suspended process wakes, hundreds of requests fail in one second, and the
// lines of most are left out. The ones that tell what the process learnt as it
// woke must be there: without them nobody can tell why it acted as it did.
func TestStateChangesAreWrittenOverTheRate(t *testing.T) {
	is := is.New(t)
	o := &output{lines: make(chan []byte, queuedLines+keptLines)}
	write := func(event string, request int) {
		_, err := o.Write(fmt.Appendf(nil, "I0102 03:04:05.678901 1 x.go:1] %q request=%d\n", event, request))
		is.NoErr(err)
	}
	for i := range queuedLines + 1 { // nobody reads: the queue is full whatever the second
		write("attempt_failed", i)
	}
	for len(o.lines) < queuedLines {
		o.lines <- nil
	}
	dropped := o.dropped.Load()
	is.True(dropped > 0)
	write("weights_named", 0)
	write("oldest_weights", 0)
	is.Equal(o.dropped.Load(), dropped)
	write("attempt_failed", 0)
	is.Equal(o.dropped.Load(), dropped+1)
}
