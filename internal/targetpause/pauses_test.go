package targetpause

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against a target that gets requests before its pause has ended, and against one
// that gets none after it.
func TestPauseRunsToItsEnd(t *testing.T) {
	is := is.New(t)
	var p Pauses[string]
	is.True(p.Pause(time.Second, "a", 3*time.Second))
	for now, want := range map[time.Duration]bool{time.Second: true, 4*time.Second - 1: true, 4 * time.Second: false} {
		end, running := p.Until(now, "a")
		is.Equal(running, want)
		is.True(!running || end == 4*time.Second)
	}
	_, running := p.Until(time.Second, "b")
	is.True(!running) // each key has its own pause
}

// Guards against a response that was on its way and shortens a longer pause asked for in
// another one.
func TestShorterPauseDoesNotShortenRunningOne(t *testing.T) {
	is := is.New(t)
	var p Pauses[string]
	is.True(p.Pause(0, "a", 10*time.Second))
	is.True(!p.Pause(time.Second, "a", time.Second))
	end, running := p.Until(5*time.Second, "a")
	is.True(running)
	is.Equal(end, 10*time.Second)
	is.True(!p.Pause(9*time.Second, "a", 10*time.Second)) // longer, but it runs already
	end, running = p.Until(12*time.Second, "a")
	is.True(running)
	is.Equal(end, 19*time.Second)
}

// Guards against a target that one absurd value keeps out of use for good, and against an
// unreadable one that counts as a pause.
func TestRetryAfterValues(t *testing.T) {
	pauses := map[string]time.Duration{
		"3": 3 * time.Second, "0.25": 250 * time.Millisecond, " 2.5 ": 2500 * time.Millisecond, "0": 0, "-0": 0,
		"600": MaxPause, "601": MaxPause, "1e300": MaxPause, "1e999": MaxPause, "Inf": MaxPause,
	}
	for value, want := range pauses {
		t.Run(fmt.Sprintf("%q", value), func(t *testing.T) {
			is := is.New(t)
			d, err := Parse(value)
			is.NoErr(err)
			is.Equal(d, want)
		})
	}
	for _, value := range []string{"", "soon", "-1", "-Inf", "NaN", "3s", "1,5", "Wed, 21 Oct 2026 07:28:00 GMT"} {
		t.Run(fmt.Sprintf("%q", value), func(t *testing.T) {
			is := is.New(t)
			_, err := Parse(value)
			is.True(errors.Is(err, ErrUnreadable))
		})
	}
}

// Guards against pauses of ended incarnations that stay in memory.
func TestRetainForgetsEndedAndUnwanted(t *testing.T) {
	is := is.New(t)
	var p Pauses[string]
	p.Pause(0, "ended", time.Second)
	p.Pause(0, "unwanted", time.Minute)
	p.Pause(0, "kept", time.Minute)
	p.Retain(2*time.Second, func(k string) bool { return k != "unwanted" })
	is.Equal(len(p.ends), 1)
	_, running := p.Until(2*time.Second, "kept")
	is.True(running)
	p.Retain(time.Minute, func(string) bool { return true })
	is.True(p.Empty())
}

// Guards against any order of pauses after which a target gets a request within one of
// them, or waits for longer than the longest.
func TestPropertyPauseEndsWithLatestEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p Pauses[int]
		now, latest := time.Duration(0), map[int]time.Duration{}
		for range rapid.IntRange(1, 30).Draw(t, "pauses") {
			now += time.Duration(rapid.Int64Range(0, int64(5*time.Minute)).Draw(t, "wait"))
			key := rapid.IntRange(0, 2).Draw(t, "key")
			d := time.Duration(rapid.Int64Range(-int64(time.Second), int64(2*MaxPause)).Draw(t, "pause"))
			p.Pause(now, key, d)
			latest[key] = max(latest[key], now+min(d, MaxPause))
			if rapid.Bool().Draw(t, "retain") {
				p.Retain(now, func(int) bool { return true })
			}
			for k := range 3 {
				end, running := p.Until(now, k)
				if running != (now < latest[k]) || running && end != latest[k] {
					t.Fatalf("key %d at %v: until %v, running %v, latest %v", k, now, end, running, latest[k])
				}
			}
		}
	})
}

// Guards against a pause that a reader of the time left sees as longer than it is, or that is
// reported as ended twice.
func TestTimeLeftAndExpiry(t *testing.T) {
	is := is.New(t)
	var p Pauses[string]
	is.Equal(p.Left(0, "a"), time.Duration(0))
	p.Pause(time.Second, "a", 3*time.Second)
	is.Equal(p.Left(3*time.Second, "a"), time.Second)
	is.Equal(len(p.Expire(3*time.Second)), 0)
	is.Equal(p.Left(4*time.Second, "a"), time.Duration(0))
	is.Equal(p.Expire(4*time.Second), []string{"a"})
	is.Equal(len(p.Expire(4*time.Second)), 0)
}

// Guards against callers that are told to wait although one of the targets is not paused.
func TestShortestLeftNeedsAPauseOfEachKey(t *testing.T) {
	is := is.New(t)
	var p Pauses[string]
	p.Pause(0, "a", 3*time.Second)
	is.Equal(p.ShortestLeft(0, []string{"a", "b"}), time.Duration(0))
	p.Pause(0, "b", 2*time.Second)
	is.Equal(p.ShortestLeft(0, []string{"a", "b"}), 2*time.Second)
	is.Equal(p.ShortestLeft(0, nil), time.Duration(0))
}
