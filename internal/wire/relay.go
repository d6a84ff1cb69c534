package wire

// Message kinds of a relayed connection. The first frame after the handshake of a peer
// connection is a call of KindRelay; after its response the connection carries only
// KindRelayData and KindRelayEnd.
const (
	KindRelay     Kind = "relay"
	KindRelayData Kind = "relay.data"
	KindRelayEnd  Kind = "relay.end"
)

// RelayRequest asks a peer to connect to a target and to relay the connection.
type RelayRequest struct {
	// Address is the ip:port of the target.
	Address string `msgpack:"a"`
}

// RelayStatus is the result of a RelayRequest.
type RelayStatus int

// The results.
const (
	// RelayConnected: the connection is established and relayed from now on.
	RelayConnected RelayStatus = iota
	// RelayUnreachable: the target accepts no connection from the peer either.
	RelayUnreachable
	// RelayDenied: the peer relays nothing to this address, or nothing at present.
	RelayDenied
)

// RelayResponse is the response to a RelayRequest.
type RelayResponse struct {
	Status RelayStatus `msgpack:"s"`
}

// RelayEnd tells how the target ended the connection.
type RelayEnd struct {
	// Reset is set unless the target has closed the connection in the regular way.
	Reset bool `msgpack:"r,omitempty"`
}
