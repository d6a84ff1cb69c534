// Package wire defines the protocol between the system's own processes: the
// frame format, the message kinds and their bodies. It does no I/O on sockets;
// package peer carries the frames over TCP.
package wire
