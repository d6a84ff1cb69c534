// Package targetconn keeps connections to targets and exchanges one request
// and its answer at a time on them.
//
// It takes the place of http.Transport, which sends a request again by itself
// when a kept connection turns out to be closed. That second send would be a
// second run that no retry budget counted, and for a booking a second booking.
// Here an exchange writes once, and its error says whether any byte of the
// request can have reached the target.
package targetconn
