// Package wholepath contains end-to-end tests that run the system as separate
// processes with real sockets, signals and restarts. The tests wait for conditions
// and never assert on durations.
package wholepath
