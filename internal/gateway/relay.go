package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/sse"
	"github.com/mastictray/mastictray/internal/targetconn"
)

// responseRelay carries answers to the caller. It lives over all attempts of a
// request: a resumed stream goes on where the one before broke off, in the
// same answer.
type responseRelay struct {
	g *Gateway
	c *call

	// started is set once the head of the answer is out.
	started    bool
	status     int
	eventCount int
	// lastEventID is the id of the last event that went out.
	lastEventID    string
	firstByteAfter time.Duration
}

// resumeAfter is the event behind which a target is to go on.
func (s *responseRelay) resumeAfter() string {
	if s.lastEventID != "" {
		return s.lastEventID
	}
	return s.c.LastEventID
}

// relayResponse relays a target's relayResponse.
func (s *responseRelay) relayResponse(ctx context.Context, l *targetAttempt, conn *targetconn.Conn, resp *http.Response) (outcome, error) {
	if resp.StatusCode == http.StatusOK && isEventStream(resp) {
		return s.relayStream(ctx, l, conn, resp)
	}
	if s.started {
		// A resumed stream must be answered with a stream.
		return s.interruptedOutcome(), errors.Newf("status %d to a resumed stream", resp.StatusCode)
	}
	return s.relayBuffered(l, conn, resp)
}

func isEventStream(resp *http.Response) bool {
	return strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
}

// interruptedOutcome is the outcome of a broken attempt: the request may be tried again as
// long as nothing is out, or where the stream can be resumed.
func (s *responseRelay) interruptedOutcome() outcome {
	if s.started && !s.c.route.Repeatable() {
		return outcomeTruncated
	}
	return outcomeUnknown
}

// maxBufferedBody bounds the answers that are read whole before their head goes
// out, so that one that breaks off can still become a clean failure.
const maxBufferedBody = 64 << 10

// relayBuffered relays an answer that is no stream.
func (s *responseRelay) relayBuffered(l *targetAttempt, conn *targetconn.Conn, resp *http.Response) (outcome, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedBody))
	if err != nil {
		return outcomeUnknown, errors.Wrap(err, "read body")
	}
	s.firstByteAfter = s.g.clock.Now() - s.c.began
	l.onAnswer()
	if len(body) < maxBufferedBody {
		conn.Finished()
		s.writeHead(resp, int64(len(body)))
		_, err = s.c.w.Write(body)
		return outcomeDelivered, s.deliveredError(resp, err)
	}
	s.writeHead(resp, resp.ContentLength)
	if _, err := s.c.w.Write(body); err != nil {
		return outcomeTruncated, errors.Wrap(err, "write to caller")
	}
	if _, err := io.Copy(s.c.w, resp.Body); err != nil {
		return outcomeTruncated, errors.Wrap(err, "relay body")
	}
	conn.Finished()
	return outcomeDelivered, s.deliveredError(resp, nil)
}

// deliveredError is the error that goes with a delivered answer: a failure that the
// target states counts against it.
func (s *responseRelay) deliveredError(resp *http.Response, err error) error {
	if err != nil {
		// The caller has gone; the context tells the rest.
		return errors.Wrap(err, "write to caller")
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		return errServerError
	}
	return nil
}

// writeHead writes the writeHead of the answer.
func (s *responseRelay) writeHead(resp *http.Response, length int64) {
	h := s.c.w.Header()
	for name, values := range s.g.dialect.RelayHeader(resp) {
		h[name] = values
	}
	if length >= 0 && s.c.Method != http.MethodHead {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	s.c.w.WriteHeader(resp.StatusCode)
	s.started, s.status, s.c.wrote = true, resp.StatusCode, true
}

// relayStream relays events as they come, each whole. The head goes out with the
// first event: until then a failure is still a clean answer.
func (s *responseRelay) relayStream(ctx context.Context, l *targetAttempt, conn *targetconn.Conn, resp *http.Response) (outcome, error) {
	events := sse.NewRawReader(resp.Body, 0)
	flush := http.NewResponseController(s.c.w)
	for {
		e, err := events.Next()
		if err == io.EOF {
			return s.endStream(conn, resp)
		}
		if err != nil {
			return s.interruptedOutcome(), errors.Wrapf(err, "stream after %d events", s.eventCount)
		}
		l.onProgress()
		if s.alreadySent(e.ID) {
			continue
		}
		if s.eventCount == 0 {
			s.firstByteAfter = s.g.clock.Now() - s.c.began
		}
		l.onAnswer()
		if !s.started {
			s.writeHead(resp, -1)
		}
		if _, err := s.c.w.Write(e.Bytes); err != nil {
			return outcomeTruncated, errors.Wrap(err, "write to caller")
		}
		if err := flush.Flush(); err != nil {
			return outcomeTruncated, errors.Wrap(err, "flush to caller")
		}
		s.eventCount++
		s.c.lastEventAt = s.g.clock.Now()
		if e.ID != "" {
			s.lastEventID = e.ID
		}
		if ctx.Err() != nil {
			return outcomeTruncated, ctx.Err()
		}
	}
}

// alreadySent says that the caller has the event already: a resumed stream may start
// too early, and a piece that comes twice spoils the answer.
func (s *responseRelay) alreadySent(id string) bool {
	if id == "" || s.lastEventID == "" {
		return false
	}
	next, err := strconv.ParseInt(id, 10, 64)
	last, err2 := strconv.ParseInt(s.lastEventID, 10, 64)
	return err == nil && err2 == nil && next <= last
}

func (s *responseRelay) endStream(conn *targetconn.Conn, resp *http.Response) (outcome, error) {
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		conn.Break() // its end was the connection's
	}
	conn.Finished()
	if !s.started {
		s.writeHead(resp, -1)
	}
	return outcomeDelivered, nil
}
