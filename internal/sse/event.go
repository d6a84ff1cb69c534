package sse

import "bytes"

// Event is one server-sent event.
type Event struct {
	// ID is the "id" field. HasID distinguishes an empty id from a missing one.
	ID    string
	HasID bool
	// Name is the "event" field, empty if there is none.
	Name string
	// Data holds the "data" fields, joined by newlines.
	Data []byte
}

// Append appends the encoded event to dst. Data may contain line breaks; ID and
// Name must not.
func Append(dst []byte, e Event) []byte {
	if e.HasID {
		dst = append(append(append(dst, "id: "...), e.ID...), '\n')
	}
	if e.Name != "" {
		dst = append(append(append(dst, "event: "...), e.Name...), '\n')
	}
	remaining := e.Data
	for {
		line, after, found := bytes.Cut(remaining, []byte{'\n'})
		dst = append(append(append(dst, "data: "...), line...), '\n')
		if !found {
			return append(dst, '\n')
		}
		remaining = after
	}
}
