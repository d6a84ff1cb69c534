// Package poison detects poison requests, which crash every target that runs
// them, and quarantines them after at most two lost targets over the whole
// fleet. Requests that happened to share a crashed target are retried and
// cleared.
//
// Requests with the same fingerprint as one that was lost in a crash are
// suspects. For each pool one instance, the home, grants the permits to run them:
// one at a time for each fingerprint and on each target.
//
// The package does no I/O and reads no clock: Registry is given requests,
// crashes, peer messages and the time, and returns messages and decisions
// through Ready.
package poison
