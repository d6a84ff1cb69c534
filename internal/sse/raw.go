package sse

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

// RawEvent is an event in its original bytes, with its id.
type RawEvent struct {
	// Bytes holds the event's lines including the terminating blank line. It is
	// valid until the next call of Next.
	Bytes []byte
	// ID is the value of the last "id" field, empty if there is none.
	ID string
}

// RawReader splits a stream into complete events without altering their bytes,
// for a relay that forwards them. Like Reader, it returns only terminated events.
type RawReader struct {
	src           *bufio.Reader
	maxEventBytes int
	buf           []byte
}

// NewRawReader returns a reader that accepts events of up to maxEventBytes. Zero
// selects DefaultMaxEventBytes.
func NewRawReader(r io.Reader, maxEventBytes int) *RawReader {
	if maxEventBytes <= 0 {
		maxEventBytes = DefaultMaxEventBytes
	}
	return &RawReader{src: bufio.NewReaderSize(r, readBufferBytes), maxEventBytes: maxEventBytes}
}

// Next returns the next event. The error is io.EOF if the stream ended between
// events, and io.ErrUnexpectedEOF if it ended inside an event.
func (r *RawReader) Next() (RawEvent, error) {
	r.buf = r.buf[:0]
	e := RawEvent{}
	for {
		line, err := r.src.ReadSlice('\n')
		r.buf = append(r.buf, line...)
		if len(r.buf) > r.maxEventBytes {
			return e, errors.Wrapf(ErrTooLarge, "event exceeds %d bytes", r.maxEventBytes)
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
