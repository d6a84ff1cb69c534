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
	// maxQueuedLines limits the lines that wait for a slow reader of the
	// output, to about a second at maxLinesPerSecond. Further lines are dropped.
	maxQueuedLines = 256
	// maxLinesPerSecond limits the output, so that a process that refuses
	// thousands of requests a second does not spend its time on logging.
	maxLinesPerSecond = 250
	// reservedLines is the additional queue capacity for priority events.
	reservedLines = 256
	// sampleInterval is the number of calls of InfoSampled per written line.
	sampleInterval = 16
)

// priorityMarks identify the events that are written even over the rate limit,
// as they appear in a line.
var priorityMarks = eventMarks(
	"started", "config_in_force", "config_reported", "weights_named", "weights_dated", "oldest_weights", "version_record_written", "lease_taken", "target_limit", "target_leaving",
	"peer_gone", "store_lost", "store_regained", "draining", "drain_incomplete", "stopped",
)

// eventMarks returns the byte sequences that identify events in a line. Priority
// events change what a process knows: they are rare, and needed to explain its
// decisions later. A process that resumes after a suspension has hundreds of
// failed requests in the same second in which it learns what it missed.
func eventMarks(events ...string) [][]byte {
	var marks [][]byte
	for _, e := range events {
		marks = append(marks, []byte("] \""+e+"\""))
	}
	return marks
}

func isPriority(line []byte) bool {
	return slices.ContainsFunc(priorityMarks, func(mark []byte) bool { return bytes.Contains(line, mark) })
}

// output writes lines from a queue and drops lines that do not fit, so that no
// request waits for a log line.
type output struct {
	w     io.Writer
	lines chan []byte
	// flushes receives a channel for each flush, which is closed once the queue has been
	// written.
	flushes chan chan struct{}
	dropped atomic.Int64
	// second is the Unix time of the second that written counts lines of.
	second  atomic.Int64
	written atomic.Int64
}

// SetOutput directs all lines to w, with a limited rate and without blocking
// the callers.
func SetOutput(w io.Writer) error {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	for name, value := range map[string]string{"logtostderr": "false", "one_output": "true", "stderrthreshold": "FATAL"} {
		if err := flags.Set(name, value); err != nil {
			return errors.Wrapf(err, "set log flag %s", name)
		}
	}
	o := newOutput(w)
	klog.SetOutput(o)
	go o.run()
	flushOutput = o.flush
	return nil
}

func newOutput(w io.Writer) *output {
	return &output{w: w, lines: make(chan []byte, maxQueuedLines+reservedLines), flushes: make(chan chan struct{})}
}

// flushTimeout limits how long the end of a process waits for a slow reader of the output.
const flushTimeout = 200 * time.Millisecond

// flushOutput flushes the output that SetOutput has set.
var flushOutput = func() {}

// Flush writes the lines that are still queued. A process calls it before it exits.
func Flush() {
	klog.Flush()
	flushOutput()
}

// flush waits until the queue has been written, for at most flushTimeout.
func (o *output) flush() {
	timeout := time.After(flushTimeout)
	done := make(chan struct{})
	select {
	case o.flushes <- done:
	case <-timeout:
		return
	}
	select {
	case <-done:
	case <-timeout:
	}
}

// Write implements io.Writer for klog, which passes one line per call.
func (o *output) Write(line []byte) (int, error) {
	now := time.Now().Unix()
	if o.second.Swap(now) != now {
		o.written.Store(0)
	}
	over := o.written.Add(1) > maxLinesPerSecond || len(o.lines) >= maxQueuedLines
	if over && !isPriority(line) {
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
	for {
		select {
		case line := <-o.lines:
			o.writeLine(line)
		case done := <-o.flushes:
			for range len(o.lines) {
				o.writeLine(<-o.lines)
			}
			close(done)
		}
	}
}

func (o *output) writeLine(line []byte) {
	if n := o.dropped.Swap(0); n > 0 {
		fmt.Fprintf(o.w, "log_lines_left_out count=%d\n", n)
	}
	// There is nowhere else to report a failed write to.
	_, _ = o.w.Write(line)
}

var sampleCalls atomic.Int64

// InfoSampled writes one of sampleInterval events. It is for frequent events of
// the same kind, such as served requests, which metrics count completely.
func InfoSampled(event string, keyvals ...any) {
	if sampleCalls.Add(1)%sampleInterval == 0 {
		klog.InfoSDepth(1, event, append(keyvals, "sampled", sampleInterval)...)
	}
}
