// Package entry implements the process that runs on an entry instance. It
// accepts callers' requests and forwards them to targets. All I/O of the serving
// path is in this package; the decisions (rates, leases, claims, placement and so
// on) are made by packages that do no I/O. A driver connects each of those to the
// log, the peers and the clock.
package entry
