// Package standin contains the code that the stand-ins for the platform, the
// model engines and the plain services share: fault injection, JSON helpers and
// the HTTP server. The stand-ins are fakes for tests and the demo; they implement
// the protocol in docs/PROTOCOLS.md.
package standin
