// Package lease gives named resources to one instance at a time, with the
// platform's log as the only place where it is decided.
//
// Leases are records in the control stream. Every instance folds them in
// offset order and comes to the same holders; a race is settled by offset
// alone. The offset of the acquire record is the fencing token. No decision
// compares clocks of two processes: a holder counts its right from before it
// sent the record, the others count their wait from when they folded it.
//
// The package is pure: time, log records and messages come in as arguments,
// records to append and messages to send come out.
package lease
