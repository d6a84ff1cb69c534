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

// relay carries answers to the caller. It lives over all attempts of a
// request: a resumed stream goes on where the one before broke off, in the
// same answer.
type relay struct {
	g *Gateway
	c *call

	// started is set once the head of the answer is out.
	started bool
	status  int
	events  int
	// lastID is the id of the last event that went out.
	lastID  string
	firstAt time.Duration
}

// resumeAfter is the event behind which a target is to go on.
func (s *relay) resumeAfter() string {
	if s.lastID != "" {
		return s.lastID
	}
	return s.c.LastEventID
}

// answer relays a target's answer.
func (s *relay) answer(ctx context.Context, l *leg, conn *targetconn.Conn, resp *http.Response) (outcome, error) {
	if resp.StatusCode == http.StatusOK && isEventStream(resp) {
		return s.stream(ctx, l, conn, resp)
	}
	if s.started {
		// A resumed stream must be answered with a stream.
		return s.cut(), errors.Newf("status %d to a resumed stream", resp.StatusCode)
	}
	return s.whole(l, conn, resp)
}

func isEventStream(resp *http.Response) bool {
	return strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
}

// cut is the outcome of a broken attempt: the request may be tried again as
// long as nothing is out, or where the stream can be resumed.
func (s *relay) cut() outcome {
	if s.started && !s.c.route.Repeatable() {
		return broken
	}
	return unknown
}

// maxBuffered bounds the answers that are read whole before their head goes
// out, so that one that breaks off can still become a clean failure.
const maxBuffered = 64 << 10

// whole relays an answer that is no stream.
func (s *relay) whole(l *leg, conn *targetconn.Conn, resp *http.Response) (outcome, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBuffered))
	if err != nil {
		return unknown, errors.Wrap(err, "read body")
	}
	s.firstAt = s.g.clock.Now() - s.c.startedAt
	l.answered()
	if len(body) < maxBuffered {
		conn.Finished()
		s.head(resp, int64(len(body)))
		_, err = s.c.w.Write(body)
		return delivered, s.result(resp, err)
	}
	s.head(resp, resp.ContentLength)
	if _, err := s.c.w.Write(body); err != nil {
		return broken, errors.Wrap(err, "write to caller")
	}
	if _, err := io.Copy(s.c.w, resp.Body); err != nil {
		return broken, errors.Wrap(err, "relay body")
	}
	conn.Finished()
	return delivered, s.result(resp, nil)
}

// result is the error that goes with a delivered answer: a failure that the
// target states counts against it.
func (s *relay) result(resp *http.Response, err error) error {
	if err != nil {
		// The caller has gone; the context tells the rest.
		return errors.Wrap(err, "write to caller")
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		return errServerError
	}
	return nil
}

// head writes the head of the answer.
func (s *relay) head(resp *http.Response, length int64) {
	h := s.c.w.Header()
	for name, values := range s.g.dialect.RelayHeader(resp) {
		h[name] = values
	}
	if length >= 0 && s.c.Method != http.MethodHead {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	s.c.w.WriteHeader(resp.StatusCode)
	s.started, s.status, s.c.headWritten = true, resp.StatusCode, true
}

// stream relays events as they come, each whole. The head goes out with the
// first event: until then a failure is still a clean answer.
func (s *relay) stream(ctx context.Context, l *leg, conn *targetconn.Conn, resp *http.Response) (outcome, error) {
	events := sse.NewRawReader(resp.Body, 0)
	flush := http.NewResponseController(s.c.w)
	for {
		e, err := events.Next()
		if err == io.EOF {
			return s.streamEnd(conn, resp)
		}
		if err != nil {
			return s.cut(), errors.Wrapf(err, "stream after %d events", s.events)
		}
		l.progressed()
		if s.seen(e.ID) {
			continue
		}
		if s.events == 0 {
			s.firstAt = s.g.clock.Now() - s.c.startedAt
		}
		l.answered()
		if !s.started {
			s.head(resp, -1)
		}
		if _, err := s.c.w.Write(e.Bytes); err != nil {
			return broken, errors.Wrap(err, "write to caller")
		}
		if err := flush.Flush(); err != nil {
			return broken, errors.Wrap(err, "flush to caller")
		}
		s.events++
		s.c.lastEventAt = s.g.clock.Now()
		if e.ID != "" {
			s.lastID = e.ID
		}
		if ctx.Err() != nil {
			return broken, ctx.Err()
		}
	}
}

// seen says that the caller has the event already: a resumed stream may start
// too early, and a piece that comes twice spoils the answer.
func (s *relay) seen(id string) bool {
	if id == "" || s.lastID == "" {
		return false
	}
	next, err := strconv.ParseInt(id, 10, 64)
	last, err2 := strconv.ParseInt(s.lastID, 10, 64)
	return err == nil && err2 == nil && next <= last
}

func (s *relay) streamEnd(conn *targetconn.Conn, resp *http.Response) (outcome, error) {
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		conn.Break() // its end was the connection's
	}
	conn.Finished()
	if !s.started {
		s.head(resp, -1)
	}
	return delivered, nil
}
