// Package peer carries wire frames between entry instances over TCP: one
// connection to each peer address, opened when first needed and again after
// it breaks, with calls and one-way messages multiplexed on it.
package peer
