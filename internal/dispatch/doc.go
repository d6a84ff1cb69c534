// Package dispatch combines the fair queue and the placement of one pool: it decides
// which waiting request is sent next and to which target.
//
// A target serves its own queue first come, first served, so requests waiting there can
// no longer be reordered fairly. Requests are therefore held in the fair queue while the
// target selected by placement has enough work. Held requests count as work of that
// target when later requests are placed.
package dispatch
