// Package rollout brings targets to the weights version that operators want.
// The holder of the lease duty/rollout runs a Controller; every instance
// folds the records into a Ledger, from which the next holder goes on.
//
// Orders are absolute ("load version v") and may be repeated. An order is
// sent only after its record was folded, so that the log knows every order
// that can still arrive. The package is pure: time, records and observations
// come in as arguments, records to append and orders to send come out.
package rollout
