package sse

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

// Default size limits of a Reader.
const (
	DefaultMaxLineBytes  = 256 << 10
	DefaultMaxEventBytes = 1 << 20
)

// readBufferBytes is enough for a typical event. Every open stream has a buffer:
// one for the longest permitted line would take 256 kB per stream.
const readBufferBytes = 4 << 10

// Errors returned by the readers, besides io.EOF and io.ErrUnexpectedEOF.
var (
	// ErrTooLarge is returned for a line or an event that exceeds its size limit.
	ErrTooLarge = errors.New("sse: event too large")
	// ErrMalformed is returned for input that is not a valid event stream.
	ErrMalformed = errors.New("sse: malformed event stream")
)

// Reader parses events from a stream.
type Reader struct {
	src           *bufio.Reader
	maxLineBytes  int
	maxEventBytes int
	// longLine is reused for lines that do not fit into the read buffer.
	longLine []byte
	// data, dataLines and eventBytes belong to the event being read.
	data       []byte
	dataLines  int
	eventBytes int
	err        error
}

// NewReader returns a reader that limits the length of each line and the total
// size of each event. Zero selects the default.
func NewReader(r io.Reader, maxLineBytes, maxEventBytes int) *Reader {
	if maxLineBytes <= 0 {
		maxLineBytes = DefaultMaxLineBytes
	}
	if maxEventBytes <= 0 {
		maxEventBytes = DefaultMaxEventBytes
	}
	return &Reader{src: bufio.NewReaderSize(r, readBufferBytes), maxLineBytes: maxLineBytes, maxEventBytes: maxEventBytes}
}

// Next returns the next event that has data. Its Data is valid until the next
// call. io.EOF means that the stream ended between events; whether the peer
// intended to end it there can't be told. After an error, Next returns the same
// error again.
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
	r.data, r.dataLines, r.eventBytes = r.data[:0], 0, 0
	hasLines := false
	for {
		line, err := r.line()
		if err != nil {
			if err == io.EOF && hasLines {
				err = io.ErrUnexpectedEOF
			}
			return Event{}, err
		}
		if len(line) > 0 {
			hasLines = true
			if err := r.parseField(&e, line); err != nil {
				return Event{}, err
			}
			continue
		}
		if r.dataLines > 0 {
			e.Data = r.data
			return e, nil
		}
		// Events without data are skipped, such as keep-alive comments.
		e, hasLines, r.eventBytes = Event{}, false, 0
	}
}

// line returns the next line without its terminator. An unterminated line gives
// io.ErrUnexpectedEOF.
func (r *Reader) line() ([]byte, error) {
	raw, err := r.rawLine()
	switch {
	case err == io.EOF && len(raw) > 0:
		return nil, io.ErrUnexpectedEOF
	case err != nil:
		return nil, err
	}
	r.eventBytes += len(raw)
	if r.eventBytes > r.maxEventBytes {
		return nil, errors.Wrapf(ErrTooLarge, "event exceeds %d bytes", r.maxEventBytes)
	}
	return bytes.TrimSuffix(raw[:len(raw)-1], []byte{'\r'}), nil
}

// rawLine returns the next line including its terminator. With an error it
// returns what was read of the line.
func (r *Reader) rawLine() ([]byte, error) {
	line, err := r.src.ReadSlice('\n')
	if err == bufio.ErrBufferFull {
		line, err = r.readLongLine(line)
	}
	if len(line) > r.maxLineBytes {
		return nil, errors.Wrapf(ErrTooLarge, "line exceeds %d bytes", r.maxLineBytes)
	}
	return line, err
}

// readLongLine reads the rest of a line whose first part fills the read buffer.
func (r *Reader) readLongLine(part []byte) ([]byte, error) {
	r.longLine = append(r.longLine[:0], part...)
	err := bufio.ErrBufferFull
	for err == bufio.ErrBufferFull && len(r.longLine) <= r.maxLineBytes {
		part, err = r.src.ReadSlice('\n')
		r.longLine = append(r.longLine, part...)
	}
	return r.longLine, err
}

// parseField adds one line of an event to e. Comments and unknown fields are
// ignored.
func (r *Reader) parseField(e *Event, line []byte) error {
	name, value, _ := bytes.Cut(line, []byte{':'})
	value = bytes.TrimPrefix(value, []byte{' '})
	if bytes.ContainsAny(line, "\r\x00") {
		return errors.Wrap(ErrMalformed, "carriage return or NUL in a line")
	}
	switch string(name) {
	case "id":
		if e.HasID {
			return errors.Wrap(ErrMalformed, "more than one id in an event")
		}
		e.ID, e.HasID = string(value), true
	case "event":
		e.Name = string(value)
	case "data":
		if r.dataLines > 0 {
			r.data = append(r.data, '\n')
		}
		r.data = append(r.data, value...)
		r.dataLines++
	}
	return nil
}
