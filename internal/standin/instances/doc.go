// Package instances is a stand-in for the platform's lagging list of live and
// leaving instances. A test sets the list by POST /v1/instances; readers see
// it after the lag.
//
// Faults: outage (503), slow (ms before each read).
package instances
