// Package attempt relays the response to one request from targets to its caller. The
// caller gets either the complete response to its own request or an explicit error.
//
// The package is pure: Stream takes the events of connections and returns the next
// action to take.
package attempt
