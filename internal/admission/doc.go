// Package admission bounds what a fleet admits to the targets of one service while its
// callers ask for more than the targets can do: arrivals at several times the usual, one
// account at many times its usual, a part of the targets dark.
//
// Each instance tells the others what its callers have asked for, by account and urgency,
// and computes from all reports how much of each class the targets have room for. The
// more urgent classes come first, with a floor for the others; accounts of one urgency
// get weighted max-min shares. An instance admits that fraction of its own requests of
// each class and refuses the rest at once. There is no coordinator: instances with the
// same reports compute the same fractions, and the fractions of their own demands add up
// to the room.
//
// Reports are usually as old as one exchange. The demand of a peer that falls silent
// counts for a few seconds more. While at least half of the fleet reports, the whole room
// is shared among the reporting instances. An instance that hears fewer uses the part of
// the room that belongs to itself and to them: cut off or frozen, it has an equal part. A
// new one has the whole room for the second in which its first reports arrive. All parts of a partitioned fleet together admit at most one and a half times the
// room of the targets that they reach.
//
// A report has at most MaxNamedRows accounts by name and one further row for each
// urgency, whatever the number of accounts and targets; accounts are named only while
// demand is near the room. Waiting requests narrow the room, so that errors in the
// estimated work of requests don't add up.
//
// The package does no I/O, reads no clock and uses no randomness of its own.
package admission
