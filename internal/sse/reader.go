package sse

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

// Default bounds of a Reader.
const (
	DefaultMaxLineBytes  = 256 << 10
	DefaultMaxEventBytes = 1 << 20
)

// readBufferBytes holds a usual event. It is small since each open stream has
// one; a buffer for the longest line would take 256 kB of each.
const readBufferBytes = 4 << 10

// Errors of a Reader. A cut stream gives io.ErrUnexpectedEOF.
var (
	// ErrTooLarge: a line or an event is over its bound.
	ErrTooLarge = errors.New("sse: event too large")
	// ErrMalformed: the bytes are no event stream.
	ErrMalformed = errors.New("sse: malformed")
)

// Reader reads events from a stream.
type Reader struct {
	r        *bufio.Reader
	maxLine  int
	maxEvent int
	// long is reused for lines longer than the read buffer.
	long  []byte
	data  []byte
	lines int
	size  int
	err   error
}

// NewReader bounds each line and the whole of each event; zero takes the
// defaults.
func NewReader(r io.Reader, maxLine, maxEvent int) *Reader {
	if maxLine <= 0 {
		maxLine = DefaultMaxLineBytes
	}
	if maxEvent <= 0 {
		maxEvent = DefaultMaxEventBytes
	}
	return &Reader{r: bufio.NewReaderSize(r, readBufferBytes), maxLine: maxLine, maxEvent: maxEvent}
}

// Next returns the next event that has data. Its Data is valid until the next
// call. io.EOF means that the stream ended between events; the reader can't
// know whether the peer meant to end there. After an error it returns the
// same error again.
func (r *Reader) Next() (Event, error) {
	if r.err != nil {
		return Event{}, r.err
	}
	e, err := r.next()
	if err != nil {
		r.err = err
		return Event{}, err
	}
	return e, nil
}

func (r *Reader) next() (Event, error) {
	var e Event
	r.data, r.lines, r.size = r.data[:0], 0, 0
	fields := false
	for {
		line, err := r.line()
		if err != nil {
			if err == io.EOF && fields {
				err = io.ErrUnexpectedEOF
			}
			return Event{}, err
		}
		if len(line) > 0 {
			fields = true
			if err := r.field(&e, line); err != nil {
				return Event{}, err
			}
			continue
		}
		if r.lines > 0 {
			e.Data = r.data
			return e, nil
		}
		// An event without data, such as a keep-alive comment, is skipped.
		e, fields, r.size = Event{}, false, 0
	}
}

// line returns one line without its end. A line that the peer did not end is
// io.ErrUnexpectedEOF.
func (r *Reader) line() ([]byte, error) {
	raw, err := r.raw()
	switch {
	case err == io.EOF && len(raw) > 0:
		return nil, io.ErrUnexpectedEOF
	case err != nil:
		return nil, err
	}
	r.size += len(raw)
	if r.size > r.maxEvent {
		return nil, errors.Wrapf(ErrTooLarge, "event over %d bytes", r.maxEvent)
	}
	return bytes.TrimSuffix(raw[:len(raw)-1], []byte{'\r'}), nil
}

// raw returns one line with its end, or what there is of it with the error.
func (r *Reader) raw() ([]byte, error) {
	line, err := r.r.ReadSlice('\n')
	if err == bufio.ErrBufferFull {
		line, err = r.longLine(line)
	}
	if len(line) > r.maxLine {
		return nil, errors.Wrap(ErrTooLarge, "line")
	}
	return line, err
}

// longLine reads on from the first part of a line that fills the buffer.
func (r *Reader) longLine(part []byte) ([]byte, error) {
	r.long = append(r.long[:0], part...)
	err := bufio.ErrBufferFull
	for err == bufio.ErrBufferFull && len(r.long) <= r.maxLine {
		part, err = r.r.ReadSlice('\n')
		r.long = append(r.long, part...)
	}
	return r.long, err
}

func (r *Reader) field(e *Event, line []byte) error {
	name, value, _ := bytes.Cut(line, []byte{':'})
	value = bytes.TrimPrefix(value, []byte{' '})
	if bytes.ContainsAny(line, "\r\x00") {
		return errors.Wrap(ErrMalformed, "control byte in line")
	}
	switch string(name) {
	case "id":
		if e.HasID {
			return errors.Wrap(ErrMalformed, "two ids in one event")
		}
		e.ID, e.HasID = string(value), true
	case "event":
		e.Name = string(value)
	case "data":
		if r.lines > 0 {
			r.data = append(r.data, '\n')
		}
		r.data = append(r.data, value...)
		r.lines++
	}
	return nil
}
