// Package canary decides how the traffic of a service moves to another version of its targets'
// software: which share of the requests the new version gets, whether it is worse than the old
// one, and when all requests go to it.
//
// Each instance counts the outcomes of its own attempts and those that its peers report
// (Evidence) and judges them by itself. The holder of the order lease runs the Controller and
// grants shares for a short time (Permit); an instance without a valid permit sends nothing to
// the new version. Targets of the new version are "canaries" until the order is complete, all
// others are "stable".
//
// The package is pure: it has no sockets, goroutines, clocks or random numbers of its own.
package canary
