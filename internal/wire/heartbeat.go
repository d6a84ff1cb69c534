package wire

// KindHeartbeat is a call between entry instances; both sides say what they
// can spare of the accounts' rates.
const KindHeartbeat Kind = "heartbeat"

// Heartbeat is a sender's part in the accounts' rates.
type Heartbeat struct {
	From Identity `msgpack:"f"`
	// RateShare is the part of all rates that the sender mints now. It only
	// steers asks for tokens; nothing is spent on its word.
	RateShare float64 `msgpack:"s"`
	// Hints are the sender's rate balances.
	Hints RateHints `msgpack:"h"`
}
