// Package configsync brings a new configuration from one instance to another in
// bounded parts.
//
// A configuration grows with its routes and accounts, the time of one call between
// instances does not. So a receiver asks for one part after the other, keeps what it
// has, and goes on with another sender where one is lost: the encoding of a version
// is the same at all instances. It holds what differs from a version that the
// receiver has, and a digest of the whole tells whether that worked. Both sides keep
// transfers below a share of their link, so that the small messages beside them are
// not late.
//
// The package is pure.
package configsync
