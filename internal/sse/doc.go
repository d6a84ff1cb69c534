// Package sse reads and writes server-sent events with bounded sizes. It is
// strict: an event that the peer did not end is an error, never an event, so
// that a cut connection can't pass for the end of a stream.
package sse
