package wire

// KindHeartbeat is a call between entry instances. Both sides report how many
// tokens of the accounts' rates they can give away.
const KindHeartbeat Kind = "heartbeat"

// Heartbeat reports the sender's share of the accounts' rates.
type Heartbeat struct {
	From Identity `msgpack:"f"`
	// RateShare is the fraction of all rates that the sender generates tokens
	// for. It only guides token requests; no tokens are spent based on it.
	RateShare float64 `msgpack:"s"`
	// Hints are the sender's rate balances.
	Hints RateHints `msgpack:"h"`
}
