// Package overload prevents failures from amplifying themselves. It has a circuit breaker
// for failing targets, a budget for retries, and a detector for targets that stop
// answering. It performs no I/O: callers pass in the time.
package overload
