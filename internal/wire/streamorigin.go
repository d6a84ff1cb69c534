package wire

// KindStreamOrigin is a call: an instance at which a caller takes up a stream asks a peer
// where the stream began.
const KindStreamOrigin Kind = "stream.origin"

// StreamOriginRequest asks for the origin of a stream.
type StreamOriginRequest struct {
	// Stream is the stream's key; see streamorigin.Key. It is 0 if the caller didn't say.
	Stream uint64 `msgpack:"k"`
	// Service is the service that the stream is routed to now.
	Service string `msgpack:"s"`
}

// StreamOriginResponse is the response to a StreamOriginRequest.
type StreamOriginResponse struct {
	// Known is set if the responder knows the stream, Sole if all streams of the service have
	// begun at the same version, Several if they may have begun at different ones.
	Known    bool   `msgpack:"k,omitempty"`
	Sole     bool   `msgpack:"o,omitempty"`
	Several  bool   `msgpack:"m,omitempty"`
	Service  string `msgpack:"s,omitempty"`
	Software string `msgpack:"v,omitempty"`
}
