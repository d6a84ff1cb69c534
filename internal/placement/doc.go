// Package placement selects the target that serves a request, in three steps:
// filter, score, pick.
//
//   - Filters exclude targets that must not receive new work. They run when the
//     state of a target changes, so that a decision reads only one word per target.
//   - Candidates are the first targets in rendezvous order of the prompt's prefix.
//     All instances therefore agree without coordination, and a restarted instance
//     selects the same targets as before.
//   - Scorers add up the expected time to first token of each candidate.
//   - The pick is a random choice among candidates of nearly equal cost. Callers
//     pass the random source, so that a run can be repeated.
//
// The home target of a prefix is the first target in its rendezvous order.
//
// To add a rule, add one file that implements Filter or Scorer.
package placement
