package entry

import (
	"net/http"
	"strconv"

	"github.com/mastictray/mastictray/internal/attempt"
	"github.com/mastictray/mastictray/internal/openai"
	"github.com/mastictray/mastictray/internal/sse"
)

// errorEventName is the name of the event that ends a stream which cannot be
// completed.
const errorEventName = "error"

// writeEvent relays one event to the caller.
func (r *engineRun) writeEvent(act attempt.Action) {
	r.writeHead("text/event-stream")
	r.sendEvent(sse.Event{ID: strconv.FormatInt(act.Seq, 10), HasID: true, Data: act.Data})
}

// writeHead sets the headers of the response, once.
func (r *engineRun) writeHead(contentType string) {
	if r.call.headSent {
		return
	}
	r.call.headSent = true
	h := r.call.w.Header()
	h.Set("Content-Type", contentType)
	h.Set("Cache-Control", "no-cache")
	r.server.announceDrain(r.call.w)
	r.server.metrics.observeFirstToken(r.call.pool.Name, r.server.clock.now()-r.call.startedAt)
}

func (r *engineRun) sendEvent(ev sse.Event) {
	r.call.eventBuf = sse.Append(r.call.eventBuf[:0], ev)
	_, _ = r.call.w.Write(r.call.eventBuf)
	if f, ok := r.call.w.(http.Flusher); ok {
		f.Flush()
	}
}

// writeFullResponse sends a response that is not a stream.
func (r *engineRun) writeFullResponse(body []byte) {
	r.writeHead("application/json")
	_, _ = r.call.w.Write(body)
}

// writeErrorEvent ends a stream that has begun with an error event. Without it,
// the caller could take the incomplete response for a complete one.
func (r *engineRun) writeErrorEvent(e *openai.Error) {
	r.sendEvent(sse.Event{Name: errorEventName, Data: e.JSON()})
}
