// Package propertytest runs the tests of a package with a fixed seed, so that
// property tests are reproducible. The flags -rapid.checks and -rapid.seed on
// the command line override the defaults, for a longer search.
package propertytest
