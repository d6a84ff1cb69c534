// Package instances is a stand-in for the platform's list of live and leaving
// instances, which is out of date by a fixed lag. A test sets the list with
// POST /v1/instances; readers see the change after the lag.
//
// Faults: outage (status 503), slow (a delay of ms before each read).
package instances
