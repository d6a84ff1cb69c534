package wire

// KindHeartbeat is a call between entry instances; both sides say how they
// are.
const KindHeartbeat Kind = "heartbeat"

// Heartbeat says what a peer needs to know of the sender.
type Heartbeat struct {
	From Identity `msgpack:"f"`
	// Leaving is set once the sender drains.
	Leaving bool `msgpack:"l,omitempty"`
	// RateShare is the part of all rates that the sender mints now. It only
	// steers asks for tokens; nothing is spent on its word.
	RateShare float64 `msgpack:"s"`
	// Hints are the sender's rate balances.
	Hints RateHints `msgpack:"h"`
	// Draining are the targets that the sender knows to be leaving.
	Draining []string `msgpack:"d,omitempty"`
	// Peers are peer addresses that the sender has heard lately.
	Peers []string `msgpack:"p,omitempty"`
}
