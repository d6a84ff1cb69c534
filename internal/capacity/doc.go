// Package capacity estimates the cost of each role of an instance, here called a
// node, for the current and the required fleet size from the measured slopes.
// docs/CAPACITY.md contains the generated tables, and a test checks that they are
// up to date.
package capacity
