// Package rollout brings targets to the weights version that operators want.
// The holder of the lease duty/rollout runs a Controller. Every instance
// applies the rollout records of the control stream to a State, from which the
// next holder continues.
//
// Orders are absolute ("load version v") and may be repeated. An order is sent
// only after its record was read back from the log, so the log contains every
// order that can still arrive. The package does no I/O and reads no clock:
// times, records and observations are arguments; records to append and orders
// to send are results.
package rollout
