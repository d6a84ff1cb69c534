package attempt

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// An engine fails in the middle of a stream, and the next engines tried refuse the
// connection because they have just crashed too and have not been detected as down. The
// caller must still get its response from a working engine. If failures to connect counted
// as dispatches, the request would fail although a working engine is left.
func TestDialFailuresDoNotCountAsDispatches(t *testing.T) {
	is := is.New(t)
	s := NewStream(Policy{RequestID: "req", Idempotent: true})
	failing := s.Dispatch(0, "a0", "t0")
	s.SendStarted(failing)
	a := s.ConnectionFailed(failing, CauseReset)
	for n := 1; n <= maxUncountedDialFailures; n++ {
		is.Equal(a.Kind, Redispatch)
		a = s.ConnectionFailed(s.Dispatch(0, fmt.Sprint("a", n), "dead"), CauseDial)
	}
	is.Equal(a.Kind, Redispatch)
	working := s.Dispatch(0, "b", "live")
	s.SendStarted(working)
	s.ResponseStarted(0, working, ResponseHead{Attempt: "b", Incarnation: "i"})
	is.Equal(s.Event(0, working, event("b", 0, "x")).Kind, Relay)
}

// No target accepts a connection. The request must end as not run after a bounded number of
// attempts.
func TestDialFailuresAreBounded(t *testing.T) {
	is := is.New(t)
	s := NewStream(Policy{RequestID: "req", Idempotent: true})
	a, n := Action{Kind: Redispatch}, 0
	for ; a.Kind == Redispatch && n < 100; n++ {
		a = s.ConnectionFailed(s.Dispatch(0, fmt.Sprint("a", n), "dead"), CauseDial)
	}
	is.Equal(n, maxUncountedDialFailures+defaultMaxDispatches)
	is.Equal(a.Kind, EndError)
	is.Equal(a.Outcome, NotRun)
}
