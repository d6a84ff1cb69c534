// Package weights is a stand-in for the weight store. Its bandwidth is limited:
// up to a number of concurrent reads run at the full rate each, and more reads
// share the total bandwidth of that number.
//
// Faults: outage (status 503), slow (a delay of ms before each read).
package weights
