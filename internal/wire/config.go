package wire

// Kinds of message about the configuration.
const (
	// KindConfigRequest asks a peer for a newer state.
	KindConfigRequest Kind = "config.ask"
)

// ConfigRequest says what the asking instance has; -1 for nothing.
type ConfigRequest struct {
	Revision   int64 `msgpack:"r"`
	NextOffset int64 `msgpack:"n"`
}

// ConfigResponse has the peer's state when it is newer than what was asked
// with, else only its revision and next offset.
type ConfigResponse struct {
	Revision   int64 `msgpack:"r"`
	NextOffset int64 `msgpack:"n"`
	// LogAgeMillis is how long ago the log was read, by the answering
	// instance or by one that has passed on what it read; -1 for never.
	LogAgeMillis int64 `msgpack:"l"`
	// State is encoded by config.State.Encode; empty when not newer.
	State []byte `msgpack:"s,omitempty"`
}
