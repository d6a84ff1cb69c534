// Package config is the operators' intent: the INI files they keep beside
// their services, the checks on them, and the fold of the changes that
// publishing appends to the platform's log. It is pure: no files, sockets or
// clocks; callers hand in bytes, records and times.
package config
