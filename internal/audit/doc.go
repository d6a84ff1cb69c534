// Package audit is the trail of what was changed: who, when, what, from which
// value to which, and whether it took effect. Entries are derived from the
// records of the platform's log, so every instance shows the same trail.
package audit
