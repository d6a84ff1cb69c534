// Package slopes measures how the cost of each role of an instance (CPU time,
// memory or bytes) grows with the size that it depends on, at four or more sizes,
// and fits a straight line. The capacity page is computed from these lines.
package slopes
