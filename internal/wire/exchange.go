package wire

import "github.com/mastictray/mastictray/internal/directory"

// KindExchange is a call between instances every few hundred milliseconds: the
// caller tells what it has spent and has running, the answer tells how fresh
// the peer's configuration is.
const KindExchange Kind = "exchange"

// Exchange is what one instance tells another.
type Exchange struct {
	From Identity `msgpack:"f"`
	// ConfigVersion is the configuration that the sender has; 0 for none.
	ConfigVersion int64 `msgpack:"v"`
	// WantConfig asks for the answerer's configuration, if it is newer. It is
	// asked of one peer at a time: small links carry it to few at once.
	WantConfig bool `msgpack:"w,omitempty"`
	// TargetsNext is where the sender would read on in the registrations of
	// targets; -1 before it has read them.
	TargetsNext int64 `msgpack:"t"`
	// Spent is what the sender has admitted since its start, by account.
	Spent map[string]float64 `msgpack:"s,omitempty"`
	// Loads is what the sender has running, by target.
	Loads map[string]TargetLoad `msgpack:"l,omitempty"`
	// Loading are targets that the sender has ordered to take new weights.
	Loading []string `msgpack:"o,omitempty"`
	// Prompts are pieces that the sender's requests have left at targets
	// since its last message.
	Prompts []SentPrompt `msgpack:"p,omitempty"`
	// Stores are the stores of KV cache that the sender reads.
	Stores []CacheStore `msgpack:"k,omitempty"`
	// Silent are targets that the sender has found to say nothing.
	Silent []string `msgpack:"q,omitempty"`
	// Crashed are fingerprints of requests that broke off at a target.
	Crashed []uint64 `msgpack:"c,omitempty"`
	// Leaving is set by an instance that takes no more requests.
	Leaving bool `msgpack:"x,omitempty"`
	// Cut is set by an instance that does not reach the store.
	Cut bool `msgpack:"y,omitempty"`
	// HoldsOrders is set by the holder of the lease for orders.
	HoldsOrders bool `msgpack:"h,omitempty"`
	// Unheard are the instances that the sender does not hear, with the
	// milliseconds since the last word of each, by itself or in the store.
	// Only the first of those that hear each other tells.
	Unheard map[string]int64 `msgpack:"u,omitempty"`
}

// TargetLoad is what an instance has running at one target.
type TargetLoad struct {
	// Unanswered is the prompt tokens whose first token has not come.
	Unanswered float64 `msgpack:"u,omitempty"`
	// Held is the tokens of memory that running requests take.
	Held int `msgpack:"h,omitempty"`
}

// SentPrompt is a prompt that a target has prefilled.
type SentPrompt struct {
	Target string `msgpack:"t"`
	Born   int64  `msgpack:"b"`
	// Chain are the hashes of the prompt's shared pieces.
	Chain []uint64 `msgpack:"c"`
	// Tokens is what the request has put into the target's cache.
	Tokens int `msgpack:"n,omitempty"`
	// Scope and Pieces are set when the target saves the pieces to a store.
	Scope  string   `msgpack:"s,omitempty"`
	Pieces []uint64 `msgpack:"p,omitempty"`
}

// CacheStore is a store of KV cache that answers.
type CacheStore struct {
	Address string `msgpack:"a"`
	// Boot tells its starts apart.
	Boot int64 `msgpack:"b"`
}

// ExchangeAnswer answers an Exchange.
type ExchangeAnswer struct {
	// ConfigVersion is the configuration that the answerer has.
	ConfigVersion int64 `msgpack:"v"`
	// ContactAge is how many milliseconds ago the answerer last heard from
	// the store what operators wrote, by itself or from a peer; -1 for never.
	ContactAge int64 `msgpack:"a"`
	// Config is the answerer's configuration when the caller's is older.
	Config []byte `msgpack:"c,omitempty"`
	// Weights are the weights versions named last, oldest first.
	Weights []NamedWeights `msgpack:"w,omitempty"`
	// Targets is what is new of the registrations of targets; nil when the
	// answerer does not read them itself.
	Targets *TargetNews `msgpack:"t,omitempty"`
	Leaving bool        `msgpack:"x,omitempty"`
}

// TargetNews is what has changed in the registrations of targets since the
// place that the asker named.
type TargetNews struct {
	// Next is where to read on after the events.
	Next int64 `msgpack:"n"`
	// Age is how many milliseconds ago the answerer read up to there.
	Age    int64             `msgpack:"a"`
	Events []directory.Event `msgpack:"e,omitempty"`
}

// NamedWeights is a weights version of a model that operators named.
type NamedWeights struct {
	Model   string `msgpack:"m"`
	Version int64  `msgpack:"v"`
	// Age is how many milliseconds ago it was named, as far as is known.
	Age int64 `msgpack:"a"`
	// Observed is set when the age comes from an instance that received the version as it
	// was named. Without it the age is an estimate.
	Observed bool `msgpack:"h,omitempty"`
}
