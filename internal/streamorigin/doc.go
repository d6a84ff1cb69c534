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

// Retention is how long the origin of a stream is kept at least. It exceeds the time for
// which callers try to take up a stream, and that for which a target goes on serving once
// its registration is gone.
const Retention = 15 * time.Second

// Origin is where a stream began.
type Origin struct {
	Service string
	// Software is the version of the target's software; empty if it stated none.
	Software string
}
