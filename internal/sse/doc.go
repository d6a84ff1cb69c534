// Package sse reads and writes server-sent events of bounded size.
//
// The readers are strict: an event that is not terminated by a blank line is an
// error and is never returned, so that a broken connection can't be mistaken for
// the end of a stream.
package sse
