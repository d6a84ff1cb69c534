// Package experiment compares routing policies in a discrete-event simulation. All
// policies receive the same seeded trace of requests. The product's policy runs its
// own decision code (packages dispatch, fairqueue, placement and cacheindex). An engine
// is modelled by a queue, a prefill rate and an LRU cache of pieces, and a link by a
// fixed delay. Since time is simulated, a run gives the same results on any machine.
package experiment
