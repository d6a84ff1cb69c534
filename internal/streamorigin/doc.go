// Package streamorigin keeps which software version of which service began each stream.
//
// What targets of different software versions send doesn't fit together, and targets
// don't check it. A caller whose stream broke off takes it up again at any instance, and
// names the attempt that brought its first event. The instance must know the origin of
// that stream, or refuse.
//
// A Table has the origins that an instance knows. An Outbox holds those of its own streams
// that its peers don't know yet. They are only needed while a service has targets of more
// than one version, which Versions tracks; otherwise the origin follows from the service.
//
// The package does no I/O and does not read the clock.
package streamorigin

import "time"

// maxStreamTime is the longest time from the first attempt of a caller to the last take-up of its
// stream: callers' time limits are shorter.
const maxStreamTime = 15 * time.Second

// maxDepartureTime is how long after the registrations of a version are gone new streams may begin
// there: the drain bounds of deployments are shorter.
const maxDepartureTime = 5 * time.Second

// Retention is how long the origin of a stream is kept at least, and how long after its last target
// was gone a version counts.
const Retention = maxStreamTime + maxDepartureTime

// Origin is where a stream began.
type Origin struct {
	Service string
	// Software is the version of the target's software; empty if it stated none.
	Software string
}
