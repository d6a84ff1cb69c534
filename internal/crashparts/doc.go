// Package crashparts finds parts of prompts that crash the targets that answer them.
//
// Requests with such a part need not be alike otherwise, so counting the crashes of one request
// finds nothing. They share targets, accounts and their other parts with sound requests, and
// targets also crash by themselves. Two kinds of evidence decide:
//
//   - A crash counts against the shared parts of the requests that the target was about to answer
//     or had just begun to answer. Those whose answers had gone on for SoundAfter don't count.
//   - An answer that went on for SoundAfter, or was complete, clears its parts of the crashes
//     before it began, at all instances.
//
// A part is blocked once it was present at MinCrashes crashes at different times without being
// cleared, if no other part explains them better: a sound part that many requests share is lost in
// more requests for each crash than the part that crashes the targets. The crashes of a blocked
// part count against no other part.
//
// A block ends when a sound answer clears the part. It lasts for BlockTime after the last crash;
// then one request at a time, at one instance of the fleet, shows whether the part still crashes
// targets. Each further crash doubles the time.
//
// Instances tell each other of crashes, sound answers and blocks. Messages may be late
// or lost: crashes are merged by their target and time, sound answers by their time, and blocks are
// sent as state. All state is bounded.
//
// The package does no I/O and does not read the clock.
package crashparts
