package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/callerconn"
	"github.com/mastictray/mastictray/internal/sse"
	"github.com/mastictray/mastictray/internal/targetconn"
)

// responseRelay relays responses to the caller. There is one for all attempts of a request:
// a resumed stream continues where the previous attempt ended, in the same response to the
// caller.
type responseRelay struct {
	g *Gateway
	c *call

	// started is set once the head of the response has been sent.
	started    bool
	status     int
	eventCount int
	// lastEventID is the ID of the last event relayed.
	lastEventID    string
	firstByteAfter time.Duration
	// longestGap is the longest time between two events.
	longestGap time.Duration
}

// resumeAfter returns the ID of the event after which a target is to resume the stream;
// empty for a new stream.
func (r *responseRelay) resumeAfter() string {
	if r.lastEventID != "" {
		return r.lastEventID
	}
	return r.c.LastEventID
}

// relayResponse relays a target's response.
func (r *responseRelay) relayResponse(ctx context.Context, a *targetAttempt, conn *targetconn.Conn, resp *http.Response) (outcome, error) {
	if resp.StatusCode == http.StatusOK && isEventStream(resp) {
		return r.relayStream(ctx, a, conn, resp)
	}
	if r.started {
		// Only another stream can continue the stream that was relayed so far.
		return r.interruptedOutcome(), errors.Newf("resumed stream was answered with status %d", resp.StatusCode)
	}
	return r.relayBuffered(a, conn, resp)
}

func isEventStream(resp *http.Response) bool {
	return strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
}

// interruptedOutcome returns the outcome of an attempt that broke off. The request may be
// retried if nothing has been relayed or if the stream can be resumed.
func (r *responseRelay) interruptedOutcome() outcome {
	if r.started && !r.c.route.Repeatable() {
		return outcomeTruncated
	}
	return outcomeUnknown
}

// maxBufferedBody is the size up to which a response is read completely before its head is
// relayed, so that a target's failure in the meantime can still be answered with an error
// status.
const maxBufferedBody = 64 << 10

// relayBuffered relays a response that is not a stream.
func (r *responseRelay) relayBuffered(a *targetAttempt, conn *targetconn.Conn, resp *http.Response) (outcome, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedBody))
	if err != nil {
		return outcomeUnknown, errors.Wrap(err, "read response body")
	}
	r.firstByteAfter = r.g.clock.Now() - r.c.startedAt
	a.onAnswer()
	if len(body) < maxBufferedBody {
		conn.FinishExchange()
		r.writeHead(resp, int64(len(body)))
		_, err = r.c.w.Write(body)
		return outcomeDelivered, r.deliveredError(resp, err)
	}
	r.writeHead(resp, resp.ContentLength)
	if _, err := r.c.w.Write(body); err != nil {
		return r.callerFailed(err)
	}
	if _, err := io.Copy(r.c.w, resp.Body); err != nil {
		return outcomeTruncated, errors.Wrap(err, "relay response body")
	}
	conn.FinishExchange()
	return outcomeDelivered, r.deliveredError(resp, nil)
}

// deliveredError returns the error that accompanies a delivered response: a failure that
// the target reports counts against it.
func (r *responseRelay) deliveredError(resp *http.Response, err error) error {
	if err != nil {
		// The caller has disconnected, which the context shows as well.
		return errors.Wrap(err, "write to caller")
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		return errServerError
	}
	return nil
}

// writeHead sends the head of the response to the caller.
func (r *responseRelay) writeHead(resp *http.Response, length int64) {
	h := r.c.w.Header()
	for name, values := range r.g.dialect.RelayHeader(resp) {
		h[name] = values
	}
	if length >= 0 && r.c.Method != http.MethodHead {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	r.g.announceDrain(r.c.w)
	r.c.w.WriteHeader(resp.StatusCode)
	r.started, r.status = true, resp.StatusCode
	r.c.headWritten.Store(true)
}

// relayStream relays events as they arrive, each as a whole. The head is sent with the
// first event; until then a failure can still be answered with an error status.
func (r *responseRelay) relayStream(ctx context.Context, a *targetAttempt, conn *targetconn.Conn, resp *http.Response) (outcome, error) {
	callerconn.OnPause(r.c.r.Context(), func(paused bool) {
		r.c.callerPaused = true
		if a.onPause != nil {
			a.onPause(paused)
		}
	})
	defer callerconn.OnPause(r.c.r.Context(), nil)
	events := sse.NewRawReader(resp.Body, 0)
	continues := r.resumeAfter() != ""
	flush := http.NewResponseController(r.c.w)
	for {
		e, err := events.Next()
		if err == io.EOF {
			return r.endStream(conn, resp)
		}
		if err != nil {
			return r.interruptedOutcome(), errors.Wrapf(err, "stream after %d events", r.eventCount)
		}
		a.onProgress()
		r.g.noteAnswer(r.c, a, false)
		if r.alreadySent(e.ID) {
			continue
		}
		if continues {
			r.g.logStreamContinued(r.c, r, a)
			continues = false
		}
		if r.eventCount == 0 {
			r.firstByteAfter = r.g.clock.Now() - r.c.startedAt
		}
		a.onAnswer()
		r.g.beginStream(r.c, a)
		if !r.started {
			r.writeHead(resp, -1)
		}
		if _, err := r.c.w.Write(e.Bytes); err != nil {
			return r.callerFailed(err)
		}
		if err := flush.Flush(); err != nil {
			return r.callerFailed(err)
		}
		now := r.g.clock.Now()
		if r.eventCount++; r.eventCount > 1 {
			r.longestGap = max(r.longestGap, now-r.c.lastEventAt)
		}
		r.c.lastEventAt = now
		if e.ID != "" {
			r.lastEventID = e.ID
		}
		if ctx.Err() != nil {
			return outcomeTruncated, ctx.Err()
		}
	}
}

// callerFailed returns the outcome of an attempt whose response the caller doesn't take. It ends
// the request, so that the failure doesn't count against the target.
func (r *responseRelay) callerFailed(err error) (outcome, error) {
	r.c.cancel()
	return outcomeTruncated, errors.Wrap(err, "write to caller")
}

// alreadySent reports whether the caller has the event already. A resumed stream may start
// too early, and a repeated event would corrupt the answer.
func (r *responseRelay) alreadySent(id string) bool {
	if id == "" || r.lastEventID == "" {
		return false
	}
	next, err := strconv.ParseInt(id, 10, 64)
	last, lastErr := strconv.ParseInt(r.lastEventID, 10, 64)
	return err == nil && lastErr == nil && next <= last
}

// endStream ends the relay of a complete stream.
func (r *responseRelay) endStream(conn *targetconn.Conn, resp *http.Response) (outcome, error) {
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		conn.MarkBroken() // the end of the connection marked the end of the body
		if r.c.generation.mayBeStopped() {
			// A target that stops a run ends its connection in the same way.
			return r.interruptedOutcome(), errors.New("stream ended while its run was being moved")
		}
	}
	conn.FinishExchange()
	if !r.started {
		r.writeHead(resp, -1)
	}
	return outcomeDelivered, nil
}
