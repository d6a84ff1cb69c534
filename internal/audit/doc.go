// Package audit defines the audit trail of changes and orders: who made them,
// when, from which value to which, and with what outcome. Entries are derived
// from the records of the platform's log, so that all instances have the same
// trail.
package audit
