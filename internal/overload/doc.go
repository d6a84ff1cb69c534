// Package overload keeps failures from feeding on themselves: it bounds the
// attempts that an instance adds to its requests. It is pure.
package overload
