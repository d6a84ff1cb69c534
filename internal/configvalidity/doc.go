// Package configvalidity decides whether an instance may go on using its configuration
// while it is out of contact with the store.
//
// Every instance must stop using a replaced configuration within a bound. During an
// outage of the store nothing can be replaced, and instances serve on. An instance whose
// own links or processor are overloaded can't reach the store either, but for the others
// configurations change meanwhile. It tells the two apart by what it hears of its peers:
// those that share its view of the store still report to it in an outage or a partition.
//
// The package does no I/O and does not read the clock.
package configvalidity
