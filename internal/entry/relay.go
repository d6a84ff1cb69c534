package entry

import (
	"net/http"
	"strconv"

	"github.com/mastictray/mastictray/internal/attempt"
	"github.com/mastictray/mastictray/internal/openai"
	"github.com/mastictray/mastictray/internal/sse"
)

// errorEvent names the event that ends a stream which cannot be completed.
const errorEvent = "error"

// write relays one event to the caller.
func (r *engineRun) write(act attempt.Action) {
	r.begin("text/event-stream")
	r.send(sse.Event{ID: strconv.FormatInt(act.Seq, 10), HasID: true, Data: act.Data})
}

// begin sends the head of the answer, once.
func (r *engineRun) begin(contentType string) {
	if r.e.wrote {
		return
	}
	r.e.wrote = true
	h := r.e.w.Header()
	h.Set("Content-Type", contentType)
	h.Set("Cache-Control", "no-cache")
	r.s.metrics.observeFirstToken(r.e.pool.Name, r.s.clock.now()-r.e.began)
}

func (r *engineRun) send(ev sse.Event) {
	r.e.buf = sse.Append(r.e.buf[:0], ev)
	_, _ = r.e.w.Write(r.e.buf)
	if f, ok := r.e.w.(http.Flusher); ok {
		f.Flush()
	}
}

// writeWhole sends an answer without a stream.
func (r *engineRun) writeWhole(body []byte) {
	r.begin("application/json")
	_, _ = r.e.w.Write(body)
}

// writeError ends a stream whose head is out already: without the event its
// caller would take the part for the whole.
func (r *engineRun) writeError(e *openai.Error) {
	r.send(sse.Event{Name: errorEvent, Data: e.JSON()})
}
