package attempt

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// A stream breaks off with its engine, and the next engines tried take no
// connection: they crashed a moment before and have not been missed yet. The
// caller still gets its answer from an engine that lives; did each failed
// connect use up an attempt, the stream would end with an error beside it.
func TestUnreachedTargetsUseUpNoAttempt(t *testing.T) {
	is := is.New(t)
	s := NewStream(Policy{RequestID: "req", Idempotent: true})
	first := s.Dispatch(0, "a0", "t0")
	s.SendStarted(first)
	a := s.ConnectionFailed(first, CauseReset)
	for n := 1; n <= maxUnreached; n++ {
		is.Equal(a.Kind, Redispatch)
		a = s.ConnectionFailed(s.Dispatch(0, fmt.Sprint("a", n), "dead"), CauseDial)
	}
	is.Equal(a.Kind, Redispatch)
	live := s.Dispatch(0, "b", "live")
	s.SendStarted(live)
	s.ResponseStarted(0, live, ResponseHead{Attempt: "b", Incarnation: "i"})
	is.Equal(s.Event(0, live, event("b", 0, "x")).Kind, Relay)
}

// No target takes a connection. The request ends after a bounded number of
// them, and has not run.
func TestUnreachedTargetsAreBounded(t *testing.T) {
	is := is.New(t)
	s := NewStream(Policy{RequestID: "req", Idempotent: true})
	a, n := Action{Kind: Redispatch}, 0
	for ; a.Kind == Redispatch && n < 100; n++ {
		a = s.ConnectionFailed(s.Dispatch(0, fmt.Sprint("a", n), "dead"), CauseDial)
	}
	is.Equal(n, maxUnreached+defaultMaxDispatches)
	is.Equal(a.Kind, EndError)
	is.Equal(a.Outcome, NotRun)
}
