// Package routing holds the routing configuration of a fleet and answers the
// two questions that every request asks of it: which route matches, and whose
// key came with it.
//
// The package is pure. A Table is immutable: a new configuration makes a new
// one, so that a request sees one version from its first look to its last.
package routing
