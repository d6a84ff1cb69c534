// Package gateway serves callers by routes: it finds the route by host and
// path, checks the key, holds the account's rate, waits for a target, sends
// the request there and relays the whole answer.
//
// A request goes one way through the files: serve.go (decode, authorise,
// admit), forward.go (try targets until one has answered), place.go, attempt.go,
// relay.go (answer), finish.go (give up, log). What is known of other instances
// is in peers.go, exchange.go and fleetstate.go. Decisions are
// made by pure packages (routing, quota, dispatch, placement, directory,
// weights, orderlease); this package does their I/O.
//
// The protocol spoken with callers, targets and the store is a Dialect and a
// few feeds, given from outside.
package gateway
