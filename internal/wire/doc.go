// Package wire is the inner protocol between the system's own processes: the
// frame, the kinds of message and the body of each. It has no sockets; the
// peer package carries frames over TCP.
package wire
