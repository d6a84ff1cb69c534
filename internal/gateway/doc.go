// Package gateway serves client requests by configured routes. It matches the route by host
// and path, checks the API key, applies the account's rate limit, waits for a target,
// forwards the request and relays the whole response.
//
// A request passes through the files in this order: serve.go (decode, authorize, admit),
// forward.go (try targets until one has answered), place.go (choose a target), attempt.go
// (send to it), relay.go (relay the response) and finish.go (failures, logging). The state
// of other instances is kept in peers.go, exchange.go and fleetstate.go. Decisions are made
// by packages without I/O (routing, quota, dispatch, placement, directory, weights,
// orderlease); this package performs their I/O.
//
// The protocols spoken with callers, targets and the store are implemented elsewhere and
// passed to New.
package gateway
