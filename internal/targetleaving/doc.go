// Package targetleaving keeps which targets have announced that they leave. It is pure: time
// and what the instance list shows come in as arguments.
package targetleaving
