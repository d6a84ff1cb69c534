// Package configsync transfers new configurations between instances in bounded parts.
//
// The size of a configuration grows with its routes and accounts, but the timeout of
// a call between instances does not. A receiver therefore requests one part after
// another. If a sender fails, the receiver keeps its parts and continues with another
// sender: all instances encode a version identically. The encoding is a delta from a
// version that the receiver has; a digest of the whole configuration verifies the
// result. Both sides limit transfers to a share of their link, so that they do not
// delay the small messages on it.
//
// The package does no I/O and does not read the clock.
package configsync
