// Package dispatch joins the fair queue and placement of one pool: which
// waiting request is sent next, and to which target.
//
// A target's own queue is first come first served, so whatever waits there
// can no longer be put in a fair order. Requests are therefore held in the
// fair queue while the target that placement wants for them has enough work.
// Held requests count as that target's work for the requests behind them.
package dispatch
