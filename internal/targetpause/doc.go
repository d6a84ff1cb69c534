// Package targetpause keeps the pauses that targets ask for when they refuse requests. It
// is pure: time comes in as an argument.
package targetpause
