package load

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

// maxLineBytes limits one line of an event stream.
const maxLineBytes = 1 << 20

// noEventID is the id of an event without an id field.
const noEventID = -1

// event is one server-sent event.
type event struct {
	id   int
	data []byte
}

// eventReader reads server-sent events.
type eventReader struct{ lines *bufio.Scanner }

func newEventReader(r io.Reader) *eventReader {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, 4096), maxLineBytes)
	return &eventReader{lines: lines}
}

// next returns the next event, or io.EOF if the stream ends between events.
func (r *eventReader) next() (event, error) {
	e := event{id: noEventID}
	for r.lines.Scan() {
		line := r.lines.Bytes()
		if len(line) == 0 && e.data != nil {
			return e, nil
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "data":
			e.data = append([]byte{}, value...)
		case "id":
			id, err := strconv.Atoi(string(value))
			if err != nil {
				return e, errors.Wrap(err, "event id")
			}
			e.id = id
		}
	}
	if err := r.lines.Err(); err != nil {
		return e, errors.Wrap(err, "read event")
	}
	if e.data != nil {
		return e, io.ErrUnexpectedEOF
	}
	return e, io.EOF
}
