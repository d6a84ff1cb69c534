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

// The idle timer must not run while a chunk is written to the caller. If a caller
// reads so slowly that a write takes longer than the idle timeout, the stream
// would be closed as idle although the target sent everything in time.
func TestIdleTimerStopsBetweenReads(t *testing.T) {
	is := is.New(t)
	r := &engineRun{
		server:         &server{clock: newClock()},
		call:           &engineCall{call: &call{headSent: true}, req: openai.Request{Stream: true}},
		stream:         attempt.NewStream(attempt.Policy{RequestID: "r"}),
		events:         sse.NewReader(strings.NewReader("id: 0\ndata: {}\n\n"), 0, 0),
		idleTimer:      time.AfterFunc(time.Hour, func() {}),
		resultRecorded: true,
	}
	r.conn = r.stream.Dispatch(0, "r.1", "t")
	r.readNext()
	is.True(!r.idleTimer.Stop()) // it was stopped already
}
