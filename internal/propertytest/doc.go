// Package propertytest runs a package's tests with fixed seeds, so that property
// tests give the same verdict every time. The command line goes first: a longer
// search takes -rapid.checks and -rapid.seed.
package propertytest
