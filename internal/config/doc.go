// Package config parses and validates the INI files that operators publish,
// and replays the config stream of the platform's log, which holds their
// changes, into the configuration in force. It does no I/O and reads no clock:
// callers pass in file contents, log records and timestamps.
package config
