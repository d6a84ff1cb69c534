// Package membership is one instance's view of the other entry instances and
// of the targets: which are live, which are leaving, and which incarnation of
// each is the present one. It takes the platform's lagging list, what this
// instance observes, and facts from peers.
//
// The package is pure: View takes ticks, lists, observations and messages, and
// hands out messages and changes through Ready. Its cost for each instance
// does not grow with the fleet, but for the memory of the facts.
package membership
