// Package callerlimit bounds what the connections and requests of callers take of an instance, so
// that callers that keep to no limits neither end the process nor shut others out.
//
// A Limiter counts the connections of one or more servers and charges them, with the heads and
// bodies that they send, to a budget of memory. Nothing is charged before it has arrived: what a
// caller announces takes no room. When room is short, the caller that has sent least lately for
// the memory that it holds is evicted: its body is refused, or its connection is closed. A request
// that has arrived whole is not. Of many connections a random part is considered, so that the work
// does not grow with their number.
//
// Whom to evict is decided by pure functions; the connections are those of package httpdrain.
package callerlimit
