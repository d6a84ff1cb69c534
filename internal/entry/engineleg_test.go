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
		server:         &server{clock: newClock()},
		call:           &engineCall{call: &call{headSent: true}, req: openai.Request{Stream: true}},
		stream:         attempt.NewStream(attempt.Policy{RequestID: "r"}),
		events:         sse.NewReader(strings.NewReader("id: 0\ndata: {}\n\n"), 0, 0),
		idleTimer:      time.AfterFunc(time.Hour, func() {}),
		resultRecorded: true,
	}
	r.leg = r.stream.Dispatch(0, "r.1", "t")
	r.readNext()
	is.True(!r.idleTimer.Stop()) // it was stopped before
}
