// Package crashpieces finds pieces of prompts that crash the targets that answer them.
//
// Requests with such a piece need not be alike otherwise, so counting the crashes of one request
// finds nothing. They share targets, accounts and their other pieces with healthy requests, and
// targets also crash by themselves. Two kinds of evidence decide:
//
//   - A crash counts against the shared pieces of the requests that the target was about to answer
//     or had just begun to answer. Those whose answers had gone on for HealthyAfter don't count.
//   - An answer that went on for HealthyAfter, or was complete, clears its pieces of the crashes
//     before it began, at all instances.
//
// A piece is blocked once it was present at MinCrashes crashes at different times without being
// cleared, if no other piece explains them better: a healthy piece that many requests share is lost
// in more requests for each crash than the piece that crashes the targets. The crashes of a blocked
// piece count against no other piece.
//
// A block ends when a healthy answer clears the piece. Soon after the last crash, one request at one
// instance of the fleet shows whether the piece is to blame; if its target crashes, the next one
// follows after BlockTime, which doubles with each further crash.
//
// Instances tell each other of crashes, healthy answers and blocks. Messages may be late or lost:
// crashes are merged by their target and time, healthy answers by their time, and blocks are sent as
// state. All state is bounded.
//
// The package does no I/O and does not read the clock.
package crashpieces
