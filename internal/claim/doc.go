// Package claim makes a non-idempotent request with an Idempotency-Key run at
// most once over the whole fleet. Before dispatch an instance appends a claim
// to the log's claims stream; the lowest offset wins, by the same fold on
// every instance; the result is appended afterwards, so that a repeat at any
// instance gets the first's answer.
//
// The package is pure. Machine takes requests, append outcomes, log reads and
// the time, and hands out appends to make and answers to give through Ready.
package claim
