package wire

// KindOrderLease is a call: the holder of the lease for orders that does not
// reach the store has a peer read or write its record.
const KindOrderLease Kind = "orderlease"

// LeaseRecord is the record of the lease for orders.
type LeaseRecord struct {
	Holder   string `msgpack:"h"`
	Instance string `msgpack:"i,omitempty"`
	Released bool   `msgpack:"r,omitempty"`
	Token    int64  `msgpack:"t"`
	// End is the offset that the next record will get.
	End int64 `msgpack:"e"`
}

// LeaseCall asks for a read of the record, or for a write on condition that
// nothing was written since offset At.
type LeaseCall struct {
	Write  bool        `msgpack:"w,omitempty"`
	At     int64       `msgpack:"a,omitempty"`
	Record LeaseRecord `msgpack:"r"`
}

// LeaseAnswer answers a LeaseCall that reached the store.
type LeaseAnswer struct {
	// Record is what was read.
	Record LeaseRecord `msgpack:"r"`
	// Written says that the write was carried out.
	Written bool `msgpack:"w,omitempty"`
}
