package entry

import (
	"net/http"
	"strconv"

	"github.com/mastictray/mastictray/internal/attempt"
	"github.com/mastictray/mastictray/internal/openai"
	"github.com/mastictray/mastictray/internal/sse"
)

// errorEvent names the event that ends a stream which cannot be completed.
const errorEventName = "error"

// write relays one event to the caller.
func (r *engineRun) writeEvent(act attempt.Action) {
	r.writeHead("text/event-stream")
	r.sendEvent(sse.Event{ID: strconv.FormatInt(act.Seq, 10), HasID: true, Data: act.Data})
}

// begin sends the head of the answer, once.
func (r *engineRun) writeHead(contentType string) {
	if r.call.headSent {
		return
	}
	r.call.headSent = true
	h := r.call.w.Header()
	h.Set("Content-Type", contentType)
	h.Set("Cache-Control", "no-cache")
	r.server.metrics.firstToken(r.call.pool.Name, r.server.clock.now()-r.call.startedAt)
}

func (r *engineRun) sendEvent(ev sse.Event) {
	r.call.eventBuf = sse.Append(r.call.eventBuf[:0], ev)
	_, _ = r.call.w.Write(r.call.eventBuf)
	if f, ok := r.call.w.(http.Flusher); ok {
		f.Flush()
	}
}

// writeWhole sends an answer without a stream.
func (r *engineRun) writeFullResponse(body []byte) {
	r.writeHead("application/json")
	_, _ = r.call.w.Write(body)
}

// writeError ends a stream whose head is out already: without the event its
// caller would take the part for the whole.
func (r *engineRun) writeErrorEvent(e *openai.Error) {
	r.sendEvent(sse.Event{Name: errorEventName, Data: e.JSON()})
}
