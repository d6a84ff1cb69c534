package logline

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// A process resumes after a suspension, hundreds of requests fail in one second
// and most of their lines are dropped. The lines about what the process learnt
// in that second must be written: they explain its decisions.
func TestPriorityEventsAreWrittenOverTheRateLimit(t *testing.T) {
	is := is.New(t)
	o := newOutput(nil)
	write := func(event string, request int) {
		_, err := o.Write(fmt.Appendf(nil, "I0102 03:04:05.678901 1 x.go:1] %q request=%d\n", event, request))
		is.NoErr(err)
	}
	for i := range maxQueuedLines + 1 { // nothing reads the queue, so it fills up even if a new second begins
		write("attempt_failed", i)
	}
	for len(o.lines) < maxQueuedLines {
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

// Guards against a process whose last lines, which tell how it ended, are missing.
func TestFlushWritesQueuedLines(t *testing.T) {
	is := is.New(t)
	var written bytes.Buffer
	o := newOutput(&written)
	for i := range 100 {
		_, err := fmt.Fprintf(o, "line %d\n", i)
		is.NoErr(err)
	}
	go o.run()
	o.flush()
	is.True(strings.HasSuffix(written.String(), "line 99\n"))
}
