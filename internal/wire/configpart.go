package wire

// KindConfigPart is a call for a part of a configuration, made until the caller has
// all parts.
const KindConfigPart Kind = "config.part"

// ConfigRef names one version of the configuration.
type ConfigRef struct {
	//lint:ignore U1000 the codec reads its tag
	_msgpack struct{} `msgpack:",as_array"`

	// Version is the operators' number; 0 for no configuration.
	Version int64
	// Digest is a hash of the content.
	Digest uint64
}

// ConfigPartRequest asks for bytes of an encoded configuration.
type ConfigPartRequest struct {
	// Base is the configuration that the caller has. The answer may build on it.
	Base ConfigRef `msgpack:"b"`
	// Target is the version of the transfer under way; 0 asks for the newest.
	Target int64 `msgpack:"t,omitempty"`
	// Offset is where to read on in the encoding, Limit the most bytes to answer.
	Offset int `msgpack:"o,omitempty"`
	Limit  int `msgpack:"l"`
}

// ConfigPart answers a ConfigPartCall.
type ConfigPart struct {
	// Base is what the encoding builds on; zero where it is whole.
	Base ConfigRef `msgpack:"b"`
	// Target is the configuration that it encodes; zero where the answerer has
	// nothing newer.
	Target ConfigRef `msgpack:"t"`
	// EncodingHash is a hash of the encoding: parts with the same one fit together, no
	// matter which instance they come from.
	EncodingHash uint64 `msgpack:"x"`
	// EncodingSize is that of the encoding in bytes, Offset the place of Data in it.
	EncodingSize int    `msgpack:"s"`
	Offset       int    `msgpack:"o"`
	Data         []byte `msgpack:"d,omitempty"`
	// RetryAfterMillis is how many milliseconds the answerer's link is in use by other
	// transfers; there is no data then.
	RetryAfterMillis int64 `msgpack:"r,omitempty"`
}
