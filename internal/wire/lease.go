package wire

// KindLeasePromise is a call: a lease holder that cannot reach the log asks the
// other members of its failure domain not to acquire its leases for a limited
// time.
const KindLeasePromise Kind = "lease.promise"

// LeasePromiseRequest requests a promise not to acquire the requester's leases.
type LeasePromiseRequest struct {
	// Holder is the requesting incarnation.
	Holder string `msgpack:"h"`
	// Member is the incarnation that the holder expects at this address.
	Member string `msgpack:"m"`
	// DurationMillis is how long the promise is to last from when it is given.
	DurationMillis int64      `msgpack:"d"`
	Leases         []LeaseRef `msgpack:"l"`
}

// LeaseRef identifies a lease by its resource and fencing token.
type LeaseRef struct {
	Resource string `msgpack:"r"`
	Token    int64  `msgpack:"t"`
}

// LeasePromiseResponse lists the leases for which the promise is given: until
// it expires, the responding process appends no acquire record for them.
type LeasePromiseResponse struct {
	// Promiser is the responding incarnation.
	Promiser string `msgpack:"b"`
	// Address is the peer address that the responding process is bound to.
	Address string     `msgpack:"a"`
	Leases  []LeaseRef `msgpack:"l"`
}
