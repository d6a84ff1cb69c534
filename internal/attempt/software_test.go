package attempt

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a response that goes on at an engine with another software version, and against
// one that is bound to a version before the caller has any part of it.
func TestResponseStaysAtItsSoftware(t *testing.T) {
	is := is.New(t)
	s := NewStream(Policy{RequestID: "r", Idempotent: true, MaxDispatches: 5, MaxResumes: 1})
	dispatch := func(attempt, software string) (conn int, a Action) {
		conn = s.Dispatch(0, attempt, "engine-"+attempt)
		s.SendStarted(conn)
		return conn, s.ResponseStarted(0, conn, ResponseHead{Attempt: attempt, Incarnation: attempt, Software: software})
	}
	conn, _ := dispatch("a", "v1")
	is.Equal(s.ConnectionFailed(conn, CauseIncarnationChanged).Kind, Redispatch)
	_, bound := s.RequiredSoftware()
	is.True(!bound)

	conn, a := dispatch("b", "v2")
	is.Equal(a.Kind, None)
	is.Equal(s.Event(0, conn, event("b", 0, "word")).Kind, Relay)
	software, bound := s.RequiredSoftware()
	is.True(bound)
	is.Equal(software, "v2")
	is.Equal(s.ConnectionFailed(conn, CauseIncarnationChanged).Kind, Redispatch)

	_, a = dispatch("c", "v1")
	is.Equal(a.Kind, Redispatch)
	is.Equal(*a.Cancel, Ref{Attempt: "c", Target: "engine-c"})

	conn, a = dispatch("d", "v2")
	is.Equal(a.Kind, None)
	is.Equal(s.Event(0, conn, event("d", 0, "word")).Kind, None) // replayed
	is.Equal(s.Event(0, conn, event("d", 1, "next")).Kind, Relay)
}
