// Package membership maintains an instance's view of the other entry instances and
// of the targets: which are live, which are leaving, and which incarnation of each
// is current. Its sources are the platform's lagging list, this instance's own
// observations, and records that peers distribute by gossip.
//
// The package does no I/O and does not read the clock: a View is driven by ticks,
// lists, observations and messages, and returns messages and changes from Ready.
// The cost per instance does not grow with the fleet, except for the memory of the
// records.
package membership
