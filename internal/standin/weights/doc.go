// Package weights is a stand-in for the rate-limited weight store. Each read
// runs at a given rate while few run at once, and all get slower beyond that.
//
// Faults: outage (503), slow (ms before each read).
package weights
