// Package attempt relays one request's answer from targets to its caller, so
// that the caller gets the whole answer to its own request or an explicit
// error. It is pure: Stream takes what happens on connections and says what
// to do next.
package attempt
