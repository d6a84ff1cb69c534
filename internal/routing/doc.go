// Package routing holds the routing configuration and looks up, for each request, the
// matching route and the account that its API key belongs to.
//
// The package performs no I/O. A Table is immutable: a new configuration creates a new
// Table, so that a request uses a single version throughout.
package routing
