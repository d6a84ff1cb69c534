// Package crowd plays callers that keep to no limits against a process, and measures what that
// process takes of its machine. Tests use it; it is no part of a binary.
package crowd
