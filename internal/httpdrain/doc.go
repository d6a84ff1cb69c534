// Package httpdrain shuts down an HTTP server without losing requests that have already
// arrived.
//
// http.Server.Shutdown loses requests. It closes connections that are idle as far as it
// knows, although the next request may have arrived; it resets connections that wait to be
// accepted; and if it reads the head of a request after the shutdown has begun, it closes
// the connection without a response. A process that gets little processor time reads
// requests late and loses many.
//
// A Server therefore leaves the decision to the goroutine that reads from the connection:
// it reads once more what has arrived and closes the connection only if that is nothing.
// Handlers have to set the header "Connection: close" while the server drains, which closes
// a connection after its response.
package httpdrain
