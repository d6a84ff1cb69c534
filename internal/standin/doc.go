// Package standin holds what the stand-ins of the platform, the engines and
// the plain services share: fault switches, JSON helpers and the HTTP server.
// The stand-ins are small fakes at the interface for tests and the demo; the
// protocol they speak is docs/PROTOCOLS.md.
package standin
