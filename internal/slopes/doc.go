// Package slopes measures what each role costs by the size that it grows
// with: time, memory or bytes at four or more sizes, and the straight line
// fitted through them. The capacity page is worked out from these lines.
package slopes
