// Package poison recognises requests that crash each target that runs them,
// and ends them after at most two lost targets over the whole fleet. Requests
// that shared a crashed target by chance are tried again and cleared.
//
// The package is pure: Registry takes requests, crashes, peers' messages and
// the time, and hands out messages and verdicts through Ready.
package poison
