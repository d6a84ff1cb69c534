// Package keys generates API keys and finds the client account that a presented
// key belongs to. Only hashes of keys are stored: nothing here logs or returns a
// key, except New, which returns the key that it generated.
package keys
