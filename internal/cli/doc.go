// Package cli implements the operators' command line. It validates
// configuration files, publishes them through the platform's log, and queries
// the admin API of an entry instance.
package cli
