package overload

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A target with two streams loses power. Its connections stay open and say
// nothing; new requests must not wait there.
func TestSilentTargetIsNoticed(t *testing.T) {
	is := is.New(t)
	var s StallDetector
	a, b := s.Begin(0), s.Begin(0)
	s.Progress(100*time.Millisecond, a)
	is.True(!s.Stalled(100*time.Millisecond + streamSilence))
	is.True(s.Stalled(101*time.Millisecond + streamSilence))
	s.Progress(2*time.Second, b) // it was only slow
	is.True(!s.Stalled(2*time.Second + streamSilence))
	s.End(a)
	s.End(b)
	is.True(!s.Stalled(time.Hour)) // nothing is to be heard
}

// A busy target takes long for a first token, and was idle before: the time
// without requests is no silence.
func TestIdleTimeIsNoSilence(t *testing.T) {
	is := is.New(t)
	var s StallDetector
	a := s.Begin(0)
	s.Progress(0, a)
	s.End(a)
	s.Begin(time.Minute)
	is.True(!s.Stalled(time.Minute + waitSilence))
	is.True(s.Stalled(time.Minute + waitSilence + 1))
}
