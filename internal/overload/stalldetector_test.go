package overload

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A target with two streams loses power. Its connections stay open without data, and new
// requests must not be sent to it.
func TestSilentTargetIsDetected(t *testing.T) {
	is := is.New(t)
	var d StallDetector
	a, b := d.Begin(0), d.Begin(0)
	d.Progress(100*time.Millisecond, a)
	is.True(!d.Stalled(100*time.Millisecond + streamStallTimeout))
	is.True(d.Stalled(101*time.Millisecond + streamStallTimeout))
	d.Progress(2*time.Second, b) // the target was only slow
	is.True(!d.Stalled(2*time.Second + streamStallTimeout))
	d.End(a)
	d.End(b)
	is.True(!d.Stalled(time.Hour)) // no answer is pending
}

// A target takes long for a first token after it had no requests. The time without requests
// must not count as a stall.
func TestIdleTimeDoesNotCountAsStall(t *testing.T) {
	is := is.New(t)
	var d StallDetector
	a := d.Begin(0)
	d.Progress(0, a)
	d.End(a)
	d.Begin(time.Minute)
	is.True(!d.Stalled(time.Minute + firstByteStallTimeout))
	is.True(d.Stalled(time.Minute + firstByteStallTimeout + 1))
}

// Guards against streams that are cancelled and repeated elsewhere because their target paused for
// a second.
func TestPauseOfASecondIsNoStall(t *testing.T) {
	is := is.New(t)
	var d StallDetector
	id := d.Begin(0)
	d.Progress(100*time.Millisecond, id)
	is.True(!d.Stalled(1400 * time.Millisecond))
	is.True(d.Stalled(1700 * time.Millisecond))
}
