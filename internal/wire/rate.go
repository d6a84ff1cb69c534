package wire

// Message kinds of the rate exchange. KindRateRequest is a call, KindRateReturn
// a one-way message.
const (
	KindRateRequest Kind = "rate.ask"
	KindRateReturn  Kind = "rate.return"
)

// MaxRateItems is the maximum number of accounts in one message of the rate
// exchange.
const MaxRateItems = 64

// RateItem is a number of tokens of one account.
type RateItem struct {
	Account string  `msgpack:"a"`
	Tokens  float64 `msgpack:"n"`
	// Demand is used in hints only: the recent demand of the sender's callers in
	// tokens per second.
	Demand float64 `msgpack:"d,omitempty"`
	// WaitedMicros is used in requests only: how long the requester's first
	// queued request has been waiting; 0 if none is queued.
	WaitedMicros int64 `msgpack:"w,omitempty"`
}

// RateRequest asks a peer for tokens. The peer debits itself before it responds,
// so a lost response loses tokens and never duplicates them.
type RateRequest struct {
	// From is the requesting incarnation.
	From  string     `msgpack:"f"`
	Items []RateItem `msgpack:"i"`
}

// RateGrant is the response to a RateRequest.
type RateGrant struct {
	// From is the granting incarnation, the only one that accepts a RateReturn
	// for this grant.
	From string `msgpack:"f"`
	// DebitedAtNanos is the granter's own clock at the debit, in nanoseconds. It
	// is opaque to the requester, which repeats it in a RateReturn.
	DebitedAtNanos int64           `msgpack:"t"`
	Items          []RateGrantItem `msgpack:"i"`
}

// RateGrantItem is the number of tokens granted for one account.
type RateGrantItem struct {
	Account string  `msgpack:"a"`
	Tokens  float64 `msgpack:"n"`
	// Remaining is how many more tokens the granter would give to this requester;
	// a hint for later requests.
	Remaining float64 `msgpack:"l"`
}

// RateReturn reports the use of grants: tokens returned unspent, and tokens
// spent, for which the granter's cap no longer needs to be lowered. It is sent
// at most once: losing it loses tokens.
type RateReturn struct {
	// To is the granting incarnation; any other drops the message.
	To    string           `msgpack:"to"`
	Items []RateReturnItem `msgpack:"i"`
}

// RateReturnItem is about the tokens of one account from one grant.
type RateReturnItem struct {
	Account string `msgpack:"a"`
	// DebitedAtNanos is copied from the RateGrant.
	DebitedAtNanos int64 `msgpack:"t"`
	// Unspent tokens are returned without having been spent.
	Unspent float64 `msgpack:"u,omitempty"`
	// Spent tokens no longer lower the granter's cap.
	Spent float64 `msgpack:"s,omitempty"`
	// Refunded tokens are returned after they were reported as Spent.
	Refunded float64 `msgpack:"r,omitempty"`
}

// RateHints are balances and demands carried on heartbeats, at most
// MaxRateItems of them, largest balance first. They guide token requests and
// the split between failure domains; no tokens are spent based on them.
type RateHints struct {
	Items []RateItem `msgpack:"i,omitempty"`
}
