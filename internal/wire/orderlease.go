package wire

// KindOrderLease is a call: a holder of the order lease that cannot reach the
// store has a peer read or write the lease record.
const KindOrderLease Kind = "orderlease"

// OrderLeaseRecord is the stored record of the order lease.
type OrderLeaseRecord struct {
	Holder   string `msgpack:"h"`
	Instance string `msgpack:"i,omitempty"`
	Released bool   `msgpack:"r,omitempty"`
	Token    int64  `msgpack:"t"`
	// End is the offset that the next record will get.
	End int64 `msgpack:"e"`
}

// OrderLeaseRequest requests a read of the record, or a write that succeeds only
// if nothing was written since ExpectedOffset.
type OrderLeaseRequest struct {
	Write          bool             `msgpack:"w,omitempty"`
	ExpectedOffset int64            `msgpack:"a,omitempty"`
	Record         OrderLeaseRecord `msgpack:"r"`
}

// OrderLeaseResponse is the response to an OrderLeaseRequest that reached the
// store.
type OrderLeaseResponse struct {
	// Record is the result of a read.
	Record OrderLeaseRecord `msgpack:"r"`
	// Written is set if the write was applied.
	Written bool `msgpack:"w,omitempty"`
}
