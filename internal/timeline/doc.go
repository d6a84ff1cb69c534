// Package timeline turns the logs of a fleet into one row for each window of
// time: what requests waited for and expected, why they were refused, which
// callers left, and what a rollout did meanwhile.
//
// The package is pure: it reads lines and gives rows.
package timeline
