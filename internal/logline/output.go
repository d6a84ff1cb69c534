package logline

import (
	"bytes"
	"flag"
	"fmt"
	"io"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"
)

const (
	// queuedLines is the lines that wait for a slow reader of the output
	// before further ones are left out: a second at the rate below.
	queuedLines = 256
	// linesPerSecond bounds the output. A process that refuses thousands of
	// requests a second must not spend its time on saying so.
	linesPerSecond = 250
	// keptLines is the lines besides that wait where their event is kept.
	keptLines = 256
	// sampleEvery: of events that are all alike one in so many is written.
	sampleEvery = 16
)

// kept are the events that are written over the rate, as they stand in a line.
var kept = keptMarks(
	"started", "config_in_force", "config_reported", "weights_named", "weights_dated", "oldest_weights", "version_record_written", "lease_taken", "target_limit",
	"peer_gone", "store_lost", "store_regained",
)

// keptMarks is for events that change what a process knows: rare, and all
// that a later trace has to go by. A suspended process wakes with hundreds of
// broken requests in one second, and hears then what it has missed.
func keptMarks(events ...string) [][]byte {
	var marks [][]byte
	for _, e := range events {
		marks = append(marks, []byte("] \""+e+"\""))
	}
	return marks
}

func isKept(line []byte) bool {
	return slices.ContainsFunc(kept, func(mark []byte) bool { return bytes.Contains(line, mark) })
}

// output writes lines from a queue and drops what does not fit: a request
// never waits for a log line.
type output struct {
	w       io.Writer
	lines   chan []byte
	dropped atomic.Int64
	second  atomic.Int64
	written atomic.Int64
}

// SetOutput sends all lines to w, bounded in rate and never blocking.
func SetOutput(w io.Writer) error {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	for name, value := range map[string]string{"logtostderr": "false", "one_output": "true", "stderrthreshold": "FATAL"} {
		if err := flags.Set(name, value); err != nil {
			return errors.Wrapf(err, "set log flag %s", name)
		}
	}
	o := &output{w: w, lines: make(chan []byte, queuedLines+keptLines)}
	klog.SetOutput(o)
	go o.run()
	return nil
}

// Write implements io.Writer for klog, one line a call.
func (o *output) Write(line []byte) (int, error) {
	now := time.Now().Unix()
	if o.second.Swap(now) != now {
		o.written.Store(0)
	}
	over := o.written.Add(1) > linesPerSecond || len(o.lines) >= queuedLines
	if over && !isKept(line) {
		o.dropped.Add(1)
		return len(line), nil
	}
	select {
	case o.lines <- append([]byte(nil), line...):
	default:
		o.dropped.Add(1)
	}
	return len(line), nil
}

func (o *output) run() {
	for line := range o.lines {
		if n := o.dropped.Swap(0); n > 0 {
			fmt.Fprintf(o.w, "log_lines_left_out count=%d\n", n)
		}
		// A reader that is gone can't be told anything.
		_, _ = o.w.Write(line)
	}
}

var samples atomic.Int64

// InfoSampled writes one in sampleEvery of events that are frequent and alike,
// such as requests that were served; counters have them all.
func InfoSampled(event string, keyvals ...any) {
	if samples.Add(1)%sampleEvery == 0 {
		klog.InfoSDepth(1, event, append(keyvals, "sampled", sampleEvery)...)
	}
}
