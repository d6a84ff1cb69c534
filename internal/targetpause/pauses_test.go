package targetpause

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestPauseEnds(t *testing.T) {
	is := is.New(t)
	p := New[string]()
	p.Pause(time.Second, "a", 3*time.Second)
	is.Equal(p.Left(time.Second, "a"), 3*time.Second)
	is.Equal(p.Left(3*time.Second, "a"), time.Second)
	is.Equal(p.Left(4*time.Second, "a"), time.Duration(0))
	is.Equal(p.Left(time.Second, "b"), time.Duration(0))
	is.Equal(len(p.Expire(3*time.Second)), 0)
	is.Equal(p.Expire(4*time.Second), []string{"a"})
	is.Equal(len(p.until), 0)
}

// Guards against a long pause that a later, shorter one ends.
func TestRunningPauseIsNotShortened(t *testing.T) {
	is := is.New(t)
	p := New[string]()
	p.Pause(0, "a", 3*time.Second)
	p.Pause(time.Second, "a", time.Second)
	is.Equal(p.Left(time.Second, "a"), 2*time.Second)
	p.Pause(time.Second, "a", 5*time.Second)
	is.Equal(p.Left(time.Second, "a"), 5*time.Second)
}

// Guards against a target that is never used again because of an absurd length.
func TestPauseLengthIsLimited(t *testing.T) {
	is := is.New(t)
	p := New[string]()
	p.Pause(time.Second, "a", 1<<62)
	is.Equal(p.Left(time.Second, "a"), MaxPause)
	p.Pause(time.Second, "b", -time.Second)
	is.Equal(p.Left(time.Second, "b"), time.Duration(0))
}

func TestShortestLeftNeedsAllTargetsPaused(t *testing.T) {
	is := is.New(t)
	p := New[string]()
	p.Pause(0, "a", 3*time.Second)
	is.Equal(p.ShortestLeft(0, []string{"a", "b"}), time.Duration(0))
	p.Pause(0, "b", 2*time.Second)
	is.Equal(p.ShortestLeft(0, []string{"a", "b"}), 2*time.Second)
	is.Equal(p.ShortestLeft(0, nil), time.Duration(0))
}
