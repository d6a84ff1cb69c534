// Package wholepath holds tests that run the system as separate processes over
// real sockets: what only real signals, connections and restarts can show.
// Their verdicts wait for conditions and never compare times.
package wholepath
