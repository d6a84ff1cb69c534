// Package service is a stand-in for a plain service. It executes a request with
// any method and path, records each execution as a run, and lists the runs at
// GET /runs.
//
// Faults: slow (a delay of ms before each run), drop_after_run (records the run,
// then closes the connection without a response; n times), refuse (status 503
// without a run), shed (the same with Retry-After of ms, or of the marker; n times),
// cut (closes the connection after half of the padding of a response; n times),
// leaving (all responses announce that the service leaves).
package service
