package sse

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

// RawEvent is an event as it came, with its id picked out.
type RawEvent struct {
	// Bytes are the event's lines and the blank line that ends it. They are
	// valid until the next call.
	Bytes []byte
	// ID is the last "id" field; empty when there is none.
	ID string
}

// RawReader splits a stream into whole events without changing a byte, for a
// relay that passes them on. Like Reader it gives an event only when the peer
// ended it.
type RawReader struct {
	r        *bufio.Reader
	maxEvent int
	buf      []byte
}

// NewRawReader bounds each event; zero takes the default.
func NewRawReader(r io.Reader, maxEvent int) *RawReader {
	if maxEvent <= 0 {
		maxEvent = DefaultMaxEventBytes
	}
	return &RawReader{r: bufio.NewReaderSize(r, readBufferBytes), maxEvent: maxEvent}
}

// Next returns the next event. io.EOF means that the stream ended between
// events, io.ErrUnexpectedEOF that it was cut inside one.
func (r *RawReader) Next() (RawEvent, error) {
	r.buf = r.buf[:0]
	e := RawEvent{}
	for {
		line, err := r.r.ReadSlice('\n')
		r.buf = append(r.buf, line...)
		if len(r.buf) > r.maxEvent {
			return e, errors.Wrapf(ErrTooLarge, "event over %d bytes", r.maxEvent)
		}
		switch {
		case err == bufio.ErrBufferFull:
			continue
		case err == io.EOF && len(r.buf) > 0:
			return e, io.ErrUnexpectedEOF
		case err != nil:
			return e, err
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			e.Bytes = r.buf
			return e, nil
		}
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			e.ID = string(bytes.TrimSpace(value))
		}
	}
}
