package wire

import (
	"maps"
	"slices"

	"github.com/mastictray/mastictray/internal/directory"
)

// KindExchange is a call between instances a few times a second: the caller
// passes on the state of instances, the answer says how fresh the peer's
// configuration is.
const KindExchange Kind = "exchange"

// Exchange is a message from one instance to another.
type Exchange struct {
	From Identity `msgpack:"f"`
	// ConfigVersion is the configuration that the sender has; 0 for none.
	ConfigVersion int64 `msgpack:"v"`
	// RegistrationsOffset is where the sender would read on in the registrations of
	// targets; -1 before it has read them.
	RegistrationsOffset int64 `msgpack:"t"`
	// Updates are the state of the sender, and of the instances that follow it,
	// as far as it has changed since the last message that was answered.
	Updates []InstanceUpdate `msgpack:"u,omitempty"`
	// BaseVersion is the place in the sender's updates on which these build, and
	// Receiver the origin number of the process that has all up to there.
	BaseVersion      uint64 `msgpack:"s,omitempty"`
	ExpectedReceiver uint64 `msgpack:"e,omitempty"`
	// Follow asks for what the answerer knows of all other instances.
	Follow bool `msgpack:"o,omitempty"`
	// Hub is set by a hub. The answerer passes the state of others on to the
	// hubs.
	Hub bool `msgpack:"b,omitempty"`
	// ReceivedCursor is the place in the answerer's updates up to which the sender
	// has them.
	ReceivedCursor UpdateCursor `msgpack:"r"`
}

// UpdateCursor is a place in the updates that one instance passes on.
type UpdateCursor struct {
	//lint:ignore U1000 the codec reads its tag
	_msgpack struct{} `msgpack:",as_array"`

	// Table is the origin number of the instance that passes them on.
	Table   uint64
	Version uint64
}

// InstanceUpdate is the state of one instance, as it or another one reports it.
type InstanceUpdate struct {
	// Origin is a number for the incarnation of the instance.
	Origin uint64
	// Seq counts the updates that the origin has made.
	Seq uint64
	// AgeMillis is how many milliseconds ago the origin made this one.
	AgeMillis int64
	// Identity is nil where the receiver has it.
	Identity *Identity
	State    InstanceState
	// Spent is what the origin has admitted since its start, by account, as far
	// as it has changed.
	Spent map[string]float64
	// FirstEvent is the number of the first event; an origin numbers its own
	// from 1 on.
	FirstEvent uint64
	Events     []InstanceEvent
}

// InstanceState is the part of an update that replaces the one before.
type InstanceState struct {
	// Capacity is the hubs' work that the instance can do beside its own.
	Capacity int
	// Leaving is set by an instance that takes no more requests.
	Leaving bool
	// StoreUnreachable is set by an instance that does not reach the store.
	StoreUnreachable bool
	// OrderLease is the record of the lease for orders, by its holder; nil for others.
	OrderLease *OrderLeaseRecord
	// ConfigVersion is the configuration that the origin has; 0 for none.
	ConfigVersion int64
	// Loads is what the origin has running, by target.
	Loads map[string]TargetLoad
	// LoadingTargets are targets that the origin has ordered to take new weights.
	LoadingTargets []string
	// CacheStores are the stores of KV cache that the origin reads.
	CacheStores []CacheStore
	// SilentTargets are targets that the origin has found to answer nothing.
	SilentTargets []string
	// TargetLimits are what the origin knows of the rates that targets state.
	TargetLimits []TargetLimit
	// OverdueInstances are the instances of which the origin has no update, with the
	// milliseconds since the last one, or since they were last announced in the
	// store. Only the first instance in the order of duties lists them.
	OverdueInstances map[string]int64
}

// Equal says whether two states are the same.
func (s *InstanceState) Equal(o *InstanceState) bool {
	if (s.OrderLease == nil) != (o.OrderLease == nil) || s.OrderLease != nil && *s.OrderLease != *o.OrderLease {
		return false
	}
	return s.Capacity == o.Capacity && s.Leaving == o.Leaving && s.StoreUnreachable == o.StoreUnreachable && s.ConfigVersion == o.ConfigVersion &&
		maps.Equal(s.Loads, o.Loads) && maps.Equal(s.OverdueInstances, o.OverdueInstances) && slices.Equal(s.LoadingTargets, o.LoadingTargets) &&
		slices.Equal(s.CacheStores, o.CacheStores) && slices.Equal(s.SilentTargets, o.SilentTargets) &&
		slices.Equal(s.TargetLimits, o.TargetLimits)
}

// InstanceEvent is something that happened at an instance: either a prompt was
// prefilled or a request broke off.
type InstanceEvent struct {
	Prompt *PrefilledPrompt
	// CrashFingerprint is the fingerprint of a request that broke off at a target; 0 for
	// none.
	CrashFingerprint uint64
}

// TargetLoad is what an instance has running at one target.
type TargetLoad struct {
	// PendingPromptTokens is the prompt tokens whose first token has not come.
	PendingPromptTokens int
	// KVCacheTokens is the tokens of memory that running requests take.
	KVCacheTokens int
}

// TargetLimit is the rate that a target states.
type TargetLimit struct {
	Target string `msgpack:"t"`
	Born   int64  `msgpack:"b"`
	// Rate is the requests a second that it takes from all instances together; 0 for
	// any number.
	Rate float64 `msgpack:"r,omitempty"`
	// Revision counts the changes of the rate.
	Revision uint64 `msgpack:"c"`
}

// PrefilledPrompt is a prompt that a target has prefilled.
type PrefilledPrompt struct {
	Target string
	Born   int64
	// SharedPieces are the hashes of the prompt's shared pieces.
	SharedPieces []uint64
	// CachedTokens is what the request has put into the target's cache.
	CachedTokens int
	// CacheScope and Pieces are set when the target saves the pieces to a store.
	CacheScope  string
	SavedPieces []uint64
}

// CacheStore is a store of KV cache that answers.
type CacheStore struct {
	Address string `msgpack:"a"`
	// BootEpoch tells its starts apart.
	BootEpoch int64 `msgpack:"b"`
}

// ExchangeResponse answers an Exchange.
type ExchangeResponse struct {
	// ConfigVersion is the configuration that the answerer has.
	ConfigVersion int64 `msgpack:"v"`
	// StoreContactAgeMillis is how many milliseconds ago the answerer last heard from
	// the store what operators wrote, by itself or from a peer; -1 for never.
	StoreContactAgeMillis int64 `msgpack:"a"`
	// OperatorsOffset is where the answerer would read on in what operators write; -1
	// before it has read it.
	OperatorsOffset int64 `msgpack:"o"`
	// Weights are the weights versions named last, oldest first.
	Weights []NamedWeights `msgpack:"w,omitempty"`
	// Registrations is what is new of the registrations of targets; nil when the
	// caller is to have it from another instance.
	Registrations *RegistrationChanges `msgpack:"t,omitempty"`
	Leaving       bool                 `msgpack:"x,omitempty"`
	// FleetSize is the number of instances that the answerer knows, itself too. A
	// caller that knows few of them learns by it that there are hubs.
	FleetSize int `msgpack:"n"`
	// Updates are the state of all other instances, for a caller that follows,
	// and Place where they end.
	Updates []InstanceUpdate `msgpack:"u,omitempty"`
	Cursor  UpdateCursor     `msgpack:"p"`
	// NeedsResync is set when an update built on one that the answerer does not
	// have: all of it is to be sent again.
	NeedsResync bool `msgpack:"l,omitempty"`
}

// RegistrationChanges is what has changed in the registrations of targets since the
// place that the asker named.
type RegistrationChanges struct {
	// NextOffset is where to read on after the events.
	NextOffset int64 `msgpack:"n"`
	// AgeMillis is how many milliseconds ago the answerer read up to there.
	AgeMillis int64             `msgpack:"a"`
	Events    []directory.Event `msgpack:"e,omitempty"`
}

// NamedWeights is a weights version of a model that operators named.
type NamedWeights struct {
	Model   string `msgpack:"m"`
	Version int64  `msgpack:"v"`
	// AgeMillis is how many milliseconds ago it was named, as far as is known.
	AgeMillis int64 `msgpack:"a"`
	// Observed is set when the age comes from an instance that received the version as it
	// was named. Without it the age is an estimate.
	Observed bool `msgpack:"h,omitempty"`
}
