// Package entry is the process on an entry instance: it takes callers'
// requests, asks the decision packages what to do, and does it. All I/O of
// the serving path is here; the decisions are in packages of their own.
package entry
