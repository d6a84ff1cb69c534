// Package lease grants each named resource to one instance at a time. The
// platform's log is the only arbiter.
//
// Leases are records in the control stream. Every instance applies the records
// in offset order and therefore computes the same holders; of two competing
// records, the one with the lower offset wins. The offset of the acquire record
// is the fencing token. Clocks of two processes are never compared: a holder
// counts the validity of its lease from before it sent the record, and the
// others count the time they wait from when they applied it.
//
// Each failure domain has a share of every account's rate, divided into slots.
// A slot is a resource that only members of the domain may hold; its holder
// issues the tokens of its part of the rates. A part of each slot is its floor:
// a holder that cannot renew, such as one that is partitioned, loses the slot
// when its lease expires but may go on to issue the floor for the hold time. An
// instance that takes the slot over gets the floor only once the former holder
// can no longer use it.
//
// The package does no I/O and reads no clock: times, log records and messages
// are arguments; records to append and messages to send are results.
package lease
