package sse

import "bytes"

// Event is one server-sent event.
type Event struct {
	// ID is the event's "id" field; HasID says that there was one.
	ID    string
	HasID bool
	// Name is the "event" field; empty for a plain message.
	Name string
	// Data is the "data" fields joined by newlines.
	Data []byte
}

// Append encodes the event. ID and Name must hold no line breaks; Data may.
func Append(dst []byte, e Event) []byte {
	if e.HasID {
		dst = append(append(append(dst, "id: "...), e.ID...), '\n')
	}
	if e.Name != "" {
		dst = append(append(append(dst, "event: "...), e.Name...), '\n')
	}
	rest := e.Data
	for {
		line, after, more := bytes.Cut(rest, []byte{'\n'})
		dst = append(append(append(dst, "data: "...), line...), '\n')
		if !more {
			return append(dst, '\n')
		}
		rest = after
	}
}
