// Package timeline summarizes the logs of a fleet in one row per time window:
// the waits and first-token times of requests, refusals by reason, callers that
// left, and the progress of rollouts.
package timeline
