package wire

// Message kinds of the configuration protocol.
const (
	// KindConfigRequest requests a peer's configuration state if it is newer.
	KindConfigRequest Kind = "config.ask"
)

// ConfigRequest states what the requesting instance has; -1 for nothing.
type ConfigRequest struct {
	Revision   int64 `msgpack:"r"`
	NextOffset int64 `msgpack:"n"`
}

// ConfigResponse carries the peer's state if that is newer than the
// requester's, otherwise only its revision and next offset.
type ConfigResponse struct {
	Revision   int64 `msgpack:"r"`
	NextOffset int64 `msgpack:"n"`
	// LogAgeMillis is the time since the log was last read, by the responding
	// instance or by one whose state it received; -1 for never.
	LogAgeMillis int64 `msgpack:"l"`
	// State is encoded by config.State.Encode; empty if not newer.
	State []byte `msgpack:"s,omitempty"`
}
