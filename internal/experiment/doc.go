// Package experiment compares routing policies on the same seeded trace. It
// runs the product's own decision code (placement, cacheindex, fairqueue) against
// engines that are reduced to a queue, a prefill rate and an LRU of pieces.
// Links are a fixed delay. Time is simulated, so that a run gives the same
// figures on any machine.
package experiment
