package wire

// Message kinds of the handshake that opens each peer connection.
const (
	KindHello Kind = "hello"
	KindProof Kind = "proof"
)

// Identity identifies a process. Each start of an instance has a new
// incarnation, so responses of an earlier process are not attributed to the
// current one.
type Identity struct {
	// Instance is the configured instance name.
	Instance string `msgpack:"n"`
	// Incarnation is unique to one start of the instance.
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

// Proof is the second frame in each direction: a MAC over both nonces and the
// sender's identity, keyed by the secret that the instances share.
type Proof struct {
	MAC []byte `msgpack:"m"`
}
