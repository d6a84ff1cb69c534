// Package callerlimit bounds what the requests of callers take of an instance, so that callers that
// keep to no limits do not end the process.
//
// Requests and their bodies are charged to a budget of memory. Nothing is charged before it has
// arrived: what a caller announces takes no room. A request for which there is none is refused.
package callerlimit
