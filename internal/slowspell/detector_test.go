package slowspell

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

const expected = 100 * time.Millisecond

func wait(target string, waited time.Duration) Wait {
	return Wait{Target: target, Waited: waited, Expected: expected}
}

// answerUsually records answers that take the given multiple of what was expected.
func answerUsually(d *Detector, factor float64) {
	for i := range recentAnswers {
		d.Answered(0, wait(fmt.Sprint("t", i%10), time.Duration(factor*float64(expected))))
	}
}

// The load: a target is 2.5 times slower for a spell.
func TestLateTargetIsPassedOverUntilItAnswers(t *testing.T) {
	is := is.New(t)
	d := New()
	answerUsually(d, 1)
	is.Equal(d.Late(time.Second, []Wait{wait("a", 240*time.Millisecond)}), nil)
	late := d.Late(time.Second, []Wait{wait("a", 260*time.Millisecond), wait("b", 90*time.Millisecond)})
	is.Equal(late, []string{"a"})
	is.Equal(d.Update(time.Second, late, nil, 8), map[string]bool{"a": true})
	d.Answered(1100*time.Millisecond, wait("a", 360*time.Millisecond))
	late = d.Late(1200*time.Millisecond, []Wait{wait("a", 400*time.Millisecond)})
	is.Equal(late, nil) // the request became late before the answer
	is.Equal(len(d.Update(1200*time.Millisecond, late, nil, 8)), 0)
}

// Guards against targets that are passed over because all are overloaded: the others would be
// overloaded next.
func TestOverloadIsNoSpell(t *testing.T) {
	is := is.New(t)
	d := New()
	answerUsually(d, 5)
	is.Equal(d.Late(time.Second, []Wait{wait("a", 6*expected), wait("b", 7*expected)}), nil)
	is.Equal(d.Late(time.Second, []Wait{wait("a", 8*expected)}), []string{"a"})
}

// Guards against a service that loses most of its targets at once, as all wait for some.
func TestShareOfTargetsIsBounded(t *testing.T) {
	is := is.New(t)
	d := New()
	var waits []Wait
	for i := range 20 {
		waits = append(waits, wait(fmt.Sprint("t", i), time.Second))
	}
	is.Equal(len(d.Update(time.Second, d.Late(time.Second, waits), nil, 20)), 5)
	is.Equal(len(New().Update(time.Second, []string{"t0"}, nil, 3)), 0)
}

// Guards against a single peer, behind a slow link, that keeps all others from a target.
func TestOnePeerIsNotBelieved(t *testing.T) {
	is := is.New(t)
	d := New()
	is.Equal(len(d.Update(0, nil, map[string]int{"a": 1}, 20)), 0)
	is.Equal(d.Update(0, nil, map[string]int{"a": 1, "b": 2}, 20), map[string]bool{"b": true})
	is.Equal(d.Update(0, []string{"a"}, map[string]int{"a": 1}, 20), map[string]bool{"a": true})
}

// Guards against flapping: a target that gets work again must have time to answer, and the
// bounded share must not alternate between targets.
func TestTargetsDoNotFlap(t *testing.T) {
	is := is.New(t)
	d := New()
	changes, last := 0, false
	for i := range 50 {
		now := time.Duration(i) * 100 * time.Millisecond
		var late []string
		if i%2 == 0 {
			late = []string{"a"}
		}
		if passed := d.Update(now, late, nil, 20)["a"]; passed != last {
			changes, last = changes+1, passed
		}
	}
	is.True(changes <= 20) // in 5 s; each time it gets work for at least half a second
	d = New()
	first := d.Update(0, []string{"d", "c"}, nil, 8)
	is.Equal(first, map[string]bool{"c": true, "d": true})
	is.Equal(d.Update(time.Second, []string{"a", "b", "c", "d"}, map[string]int{"a": 9, "b": 9}, 8), first)
}

// Guards against a detector that grows with every target that ever was.
func TestRetainForgetsTargets(t *testing.T) {
	is := is.New(t)
	d := New()
	answerUsually(d, 1)
	d.Update(0, []string{"a"}, nil, 8)
	d.Retain(func(string) bool { return false })
	is.Equal(len(d.lastAnswers)+len(d.passedOver), 0)
}
