// Package claim ensures that a non-idempotent request with an Idempotency-Key runs
// at most once in the whole fleet.
//
// Before an instance dispatches such a request, it appends a claim to the claims
// stream of the log. The claim with the lowest offset holds the key; every instance
// computes this by applying the same records in the same order. The holder appends
// the result afterwards, so that a retry at any instance gets the response to the
// first request.
//
// The package is pure. Machine takes requests, the outcomes of appends, log reads
// and the time. Its method Ready returns the appends to make and the answers to give.
package claim
