// Package placement decides which target serves a request. The pipeline is
// filter, score, pick:
//
//   - filters take out targets that must get no new work; they run when a
//     target's state changes, so that a decision reads one word a target;
//   - candidates are the first targets in rendezvous order of the prompt's
//     prefix, so that all instances agree without talking and a restarted
//     instance lands on the same targets;
//   - scorers add up the expected time to first token of each candidate;
//   - the pick is a seeded choice among near ties.
//
// Adding a rule means adding one file that implements Filter or Scorer.
package placement
