// Package keys makes callers' keys and decides which client account a
// presented key belongs to. Only hashes of keys are kept anywhere; nothing
// here logs or returns the key itself but New, once.
package keys
