// Package peer carries wire frames between instances over TCP. There is one
// outgoing connection per peer address, dialled on first use and again after it
// breaks. Calls and one-way messages of both sides are multiplexed on it. A Stream has a
// connection of its own, so that its data delays no call.
package peer
