// Package targetconn implements an HTTP/1.1 client with pooled connections to
// targets. A connection carries one request and its response at a time.
//
// It replaces http.Transport, which retries a request by itself if a pooled
// connection turns out to be closed. The target could then execute the request
// twice: no retry budget would count the second execution, and a booking would
// be made twice. This package writes a request once, and its errors tell whether
// any byte of the request may have reached the target.
package targetconn
