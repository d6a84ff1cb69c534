package admission

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against underestimating long answers beside many short ones: then more of the long
// ones are admitted than there are slots for.
func TestWorkOfLongAnswersBesideManyShortOnes(t *testing.T) {
	is := is.New(t)
	e := NewEstimator()
	long, short := Prompt{Tokens: 12000, Unshared: 6600}, Prompt{Tokens: 2400, Unshared: 1800, MaxOutput: 24}
	for range 100 {
		for range 9 {
			e.ObserveOutput(2, 0.1)
			e.ObservePrefill(short, 1800)
		}
		e.ObserveOutput(0, 4)
		e.ObservePrefill(long, 6600+540)
	}
	w := e.Work(long, 0, 68000)
	is.True(w.SlotSeconds >= 4 && w.SlotSeconds <= 4.2)
	is.True(math.Abs(w.Tokens-6600) < 600)
	is.True(e.Work(short, 2, 68000).SlotSeconds < 0.2)
	is.True(e.Work(short, 5, 68000).SlotSeconds > 0.2) // without samples, from its size
}

// Guards against a target that hangs and makes the whole service look busy.
func TestWaitIsBoundedAndForgotten(t *testing.T) {
	is := is.New(t)
	e := NewEstimator()
	e.ObserveWait(time.Minute)
	is.True(e.Wait() <= 100*time.Millisecond)
	for range 50 {
		e.ObserveWait(0)
	}
	is.True(e.Wait() < time.Millisecond)
}
