// Package ratelease keeps each client account within its rate and burst over the
// whole fleet, without a coordinator.
//
// Each account's rate and burst are divided into allocations, which instances
// hold by lease. An instance issues tokens, that is, refills its token bucket,
// for the allocations that it holds, and sends tokens to other instances on
// demand. Invariant: at any moment the spendable tokens of an account on all
// instances and in flight between them are at most its burst, and all instances
// together issue at most its rate. Thus at most rate*W + burst tokens are
// admitted in any window of W seconds.
//
// The package does no I/O and reads no clock: time, messages and lease states
// are passed in, and messages to send and decisions are returned.
package ratelease
