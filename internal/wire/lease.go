package wire

// KindLeasePromise is a call: a lease holder that cannot reach the log asks
// the other members of its domain not to take its leases over for a while.
const KindLeasePromise Kind = "lease.promise"

// LeasePromiseRequest asks for a promise about leases of the asker.
type LeasePromiseRequest struct {
	// Holder is the asking incarnation.
	Holder string `msgpack:"h"`
	// Member is the incarnation that the holder expects at this address.
	Member string `msgpack:"m"`
	// DurationMillis is how long the promise is to last from when it is given.
	DurationMillis int64      `msgpack:"d"`
	Leases         []LeaseRef `msgpack:"l"`
}

// LeaseRef names one lease: a resource and its fencing token.
type LeaseRef struct {
	Resource string `msgpack:"r"`
	Token    int64  `msgpack:"t"`
}

// LeasePromiseResponse lists the leases for which the promise is given: until
// the time is over, the answering process appends no acquire for them.
type LeasePromiseResponse struct {
	// Promiser is the answering incarnation.
	Promiser string `msgpack:"b"`
	// Address is the peer address that the answering process is bound to.
	Address string     `msgpack:"a"`
	Leases  []LeaseRef `msgpack:"l"`
}
