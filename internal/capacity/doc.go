// Package capacity works out what each role costs a node, at today's size and
// at the users' target, from the measured slopes. docs/CAPACITY.md holds its
// tables; a test compares them.
package capacity
