// Package rate keeps each client account within its rate and burst over the
// whole fleet, without a coordinator.
//
// An account's rate and burst are cut into parts. An instance mints tokens
// for the parts whose lease it holds and moves tokens to other instances on
// demand. The invariant: at every moment the spendable tokens of an account
// on all instances and on the way between them are at most its burst, and
// all instances together mint at most its rate. So in every window of W
// seconds at most rate*W + burst tokens are admitted.
//
// The package is pure: time, messages and lease states come in as arguments,
// messages to send and decisions come out.
package rate
