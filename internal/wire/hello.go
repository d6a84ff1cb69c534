package wire

// Kinds of the handshake that opens each peer connection.
const (
	KindHello Kind = "hello"
	KindProof Kind = "proof"
)

// Identity says who a process is. The same instance gets a new incarnation at
// each start, so answers of an earlier process are never taken for its own.
type Identity struct {
	// Instance is the name from the settings.
	Instance string `msgpack:"n"`
	// Incarnation is new at each start.
	Incarnation string `msgpack:"i"`
	// Address is the peer address, ip:port.
	Address string `msgpack:"a"`
	Domain  string `msgpack:"d"`
}

// Hello is the first frame in each direction.
type Hello struct {
	From  Identity `msgpack:"f"`
	Nonce []byte   `msgpack:"n"`
}

// Proof is the second frame: a MAC over both nonces and the sender's
// identity, keyed by the secret that the instances share.
type Proof struct {
	MAC []byte `msgpack:"m"`
}
