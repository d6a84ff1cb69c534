// Package certs builds TLS configurations from PEM files that may be replaced
// while the process runs.
package certs
