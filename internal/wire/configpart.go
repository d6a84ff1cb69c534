package wire

// KindConfigPart is a call for one part of a configuration. The caller repeats it
// until it has all parts.
const KindConfigPart Kind = "config.part"

// ConfigRef identifies one version of the configuration.
type ConfigRef struct {
	//lint:ignore U1000 the codec reads its tag
	_msgpack struct{} `msgpack:",as_array"`

	// Version is assigned by the operators; 0 for no configuration.
	Version int64
	// Digest is a hash of the content.
	Digest uint64
}

// ConfigPartRequest requests a byte range of an encoded configuration.
type ConfigPartRequest struct {
	// Base is the configuration that the caller has. The encoding may be a delta
	// from it.
	Base ConfigRef `msgpack:"b"`
	// Target is the version being transferred; 0 requests the newest.
	Target int64 `msgpack:"t,omitempty"`
	// Offset is the start of the range, Limit its maximum length in bytes.
	Offset int `msgpack:"o,omitempty"`
	Limit  int `msgpack:"l"`
}

// ConfigPart is the response to a ConfigPartRequest.
type ConfigPart struct {
	// Base is the configuration that the encoding is a delta from; zero if it is
	// complete.
	Base ConfigRef `msgpack:"b"`
	// Target is the encoded configuration; zero if the sender has nothing newer.
	Target ConfigRef `msgpack:"t"`
	// EncodingHash identifies the encoding: parts with equal hashes can be
	// combined, whichever instances they come from.
	EncodingHash uint64 `msgpack:"x"`
	// EncodingSize is the length of the encoding in bytes, Offset the position of
	// Data in it.
	EncodingSize int    `msgpack:"s"`
	Offset       int    `msgpack:"o"`
	Data         []byte `msgpack:"d,omitempty"`
	// RetryAfterMillis is how long other transfers will use up the sender's share
	// of its link. If set, there is no data.
	RetryAfterMillis int64 `msgpack:"r,omitempty"`
}
