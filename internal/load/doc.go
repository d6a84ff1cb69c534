// Package load sends seeded, open-loop traffic through the entry instances,
// checks that each answer is whole, in order and the caller's own, and
// computes the five measures. Arrivals are scheduled beforehand: a slow fleet
// does not slow them, and times count from the scheduled arrival.
package load
