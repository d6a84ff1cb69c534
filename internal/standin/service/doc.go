// Package service is a stand-in for a plain service: it takes any method and
// path, counts each run, and lists the runs at GET /runs.
//
// Faults: slow (ms before each run), drop_after_run (runs, then cuts the
// connection without an answer; n times), refuse (503 before running).
package service
