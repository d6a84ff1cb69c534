// Package cli is the operators' command line: it checks configuration files,
// publishes them through the platform's log, and asks an entry instance what
// it does. It speaks to the log and to the admin API only.
package cli
