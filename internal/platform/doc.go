// Package platform holds the client side of the services that the platform
// gives: the append-only log, the lagging instance list and the weight store.
// All three are spoken to over HTTP with JSON bodies; the shapes are in
// docs/PROTOCOLS.md.
package platform
