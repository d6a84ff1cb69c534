package wire

// KindOrderLease is a call: the holder of the lease for orders that does not
// reach the store has a peer read or write its record.
const KindOrderLease Kind = "orderlease"

// OrderLeaseRecord is the record of the lease for orders.
type OrderLeaseRecord struct {
	Holder   string `msgpack:"h"`
	Instance string `msgpack:"i,omitempty"`
	Released bool   `msgpack:"r,omitempty"`
	Token    int64  `msgpack:"t"`
	// End is the offset that the next record will get.
	End int64 `msgpack:"e"`
}

// OrderLeaseRequest asks for a read of the record, or for a write on condition that
// nothing was written since offset At.
type OrderLeaseRequest struct {
	Write          bool             `msgpack:"w,omitempty"`
	ExpectedOffset int64            `msgpack:"a,omitempty"`
	Record         OrderLeaseRecord `msgpack:"r"`
}

// OrderLeaseResponse answers a LeaseCall that reached the store.
type OrderLeaseResponse struct {
	// Record is what was read.
	Record OrderLeaseRecord `msgpack:"r"`
	// Written says that the write was carried out.
	Written bool `msgpack:"w,omitempty"`
}
