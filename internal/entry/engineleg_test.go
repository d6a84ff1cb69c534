package entry

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/attempt"
	"github.com/mastictray/mastictray/internal/openai"
	"github.com/mastictray/mastictray/internal/sse"
)

// A caller reads its stream slowly, so that writing to it takes longer than a
// target may be silent. The target has sent everything in time. Were its timer
// still running during the write, the stream would be broken off as idle.
func TestTargetTimerRestsWhileTheCallerReads(t *testing.T) {
	is := is.New(t)
	r := &engineRun{
		s:       &server{clock: newClock()},
		e:       &engineCall{call: &call{wrote: true}, req: openai.Request{Stream: true}},
		stream:  attempt.NewStream(attempt.Policy{RequestID: "r"}),
		events:  sse.NewReader(strings.NewReader("id: 0\ndata: {}\n\n"), 0, 0),
		idle:    time.AfterFunc(time.Hour, func() {}),
		counted: true,
	}
	r.leg = r.stream.Dispatch(0, "r.1", "t")
	r.read()
	is.True(!r.idle.Stop()) // it was stopped before
}
