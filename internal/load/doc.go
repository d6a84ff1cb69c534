// Package load generates seeded, open-loop traffic through the entry instances,
// checks that each answer is complete, in order and belongs to its request, and
// computes the five metrics of a run: prefix hit rate, time to first token,
// wasted recomputation, worst-served account and refusals within the rate.
// Arrival times don't depend on answers, so a slow fleet doesn't reduce the load,
// and latencies are measured from the scheduled arrival.
package load
