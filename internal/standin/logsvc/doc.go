// Package logsvc is a stand-in for the platform's append-only log service. It
// keeps streams in memory, trims them by number and age of records, limits the
// appends and the reads per second, and supports fault injection.
//
// Faults: outage (status 503, no effect), slow (a delay of ms before each call),
// lose_answer (an append takes effect, then the connection is closed; n times),
// trim (immediately drops all but the last n records of each stream).
package logsvc
