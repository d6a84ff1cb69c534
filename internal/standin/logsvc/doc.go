// Package logsvc is a stand-in for the platform's append-only log service. It
// keeps streams in memory, forgets records by count and age, limits appends
// for a second, and can be told to fail.
//
// Faults: outage (503, no effect), slow (ms before each call), lose_answer
// (an append takes effect, then the connection is cut; n times), trim (keeps
// only the last n records of each stream, at once).
package logsvc
