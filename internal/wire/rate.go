package wire

// Kinds of the rate exchange. KindRateRequest is a call, KindRateReturn a one-way
// message.
const (
	KindRateRequest Kind = "rate.ask"
	KindRateReturn  Kind = "rate.return"
)

// MaxRateItems bounds the accounts in one message of the rate exchange.
const MaxRateItems = 64

// RateItem is a number of tokens of one account.
type RateItem struct {
	Account string  `msgpack:"a"`
	Tokens  float64 `msgpack:"n"`
	// Demand is, in a hint, what the sender's callers asked for lately, in
	// tokens per second.
	Demand float64 `msgpack:"d,omitempty"`
	// WaitedMicros is, in an ask, how long the asker's first request has
	// been waiting; 0 when none waits.
	WaitedMicros int64 `msgpack:"w,omitempty"`
}

// RateRequest asks a peer for tokens. The peer debits itself before it answers,
// so a lost answer loses tokens and never doubles them.
type RateRequest struct {
	// From is the asking incarnation.
	From  string     `msgpack:"f"`
	Items []RateItem `msgpack:"i"`
}

// RateGrant answers a RateAsk.
type RateGrant struct {
	// From is the granting incarnation; it binds a later RateReturn to it.
	From string `msgpack:"f"`
	// DebitedAtNanos is the granter's own clock at the debit, in nanoseconds. The asker
	// repeats it in a RateReturn and reads nothing from it.
	DebitedAtNanos int64           `msgpack:"t"`
	Items          []RateGrantItem `msgpack:"i"`
}

// RateGrantItem is the granted tokens of one account.
type RateGrantItem struct {
	Account string  `msgpack:"a"`
	Tokens  float64 `msgpack:"n"`
	// Remaining is what the granter keeps and would give to this asker; a hint for
	// later asks.
	Remaining float64 `msgpack:"l"`
}

// RateReturn tells what became of grants: tokens that come back unspent, and
// tokens that were spent, so that the granter's cap need not stay lowered. It
// is sent once and never again: a lost one loses tokens.
type RateReturn struct {
	// To is the granting incarnation; another one drops the message.
	To    string           `msgpack:"to"`
	Items []RateReturnItem `msgpack:"i"`
}

// RateReturnItem is about the tokens of one account from one grant.
type RateReturnItem struct {
	Account string `msgpack:"a"`
	// DebitedAtNanos is RateGrant.DebitedAtNanos.
	DebitedAtNanos int64 `msgpack:"t"`
	// Unspent tokens come back; they were never spent.
	Unspent float64 `msgpack:"u,omitempty"`
	// Spent tokens no longer lower the granter's cap.
	Spent float64 `msgpack:"s,omitempty"`
	// Refunded tokens come back; they were told as Spent before.
	Refunded float64 `msgpack:"r,omitempty"`
}

// RateHints are balances and demands carried on heartbeats, at most
// MaxRateItems of them, largest balance first. They steer asks and the split
// over the domains; nothing is spent on their word.
type RateHints struct {
	Items []RateItem `msgpack:"i,omitempty"`
}
