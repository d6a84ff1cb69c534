package wire

import (
	"maps"
	"slices"

	"github.com/mastictray/mastictray/internal/directory"
)

// KindExchange is a call that instances make several times a second: the caller
// sends updates of instance state, the response states among other things which
// configuration the peer has and how recently it was in contact with the store.
const KindExchange Kind = "exchange"

// Exchange carries the sender's state and, from a hub, that of its followers.
type Exchange struct {
	From Identity `msgpack:"f"`
	// ConfigVersion is the version of the sender's configuration; 0 for none.
	ConfigVersion int64 `msgpack:"v"`
	// RegistrationsOffset is the offset up to which the sender has read the target
	// registrations; -1 if it has not read them yet.
	RegistrationsOffset int64 `msgpack:"t"`
	// UnknownServices are the services of which the sender doesn't know yet how few rejections their
	// targets can bear.
	UnknownServices []string `msgpack:"q,omitempty"`
	// Updates are the changes in the state of the sender and its followers since
	// the last exchange that the receiver answered.
	Updates []InstanceUpdate `msgpack:"u,omitempty"`
	// BaseVersion is the version of the sender's table that Updates are relative
	// to, ExpectedReceiver the origin ID of the process that has that version.
	BaseVersion      uint64 `msgpack:"s,omitempty"`
	ExpectedReceiver uint64 `msgpack:"e,omitempty"`
	// Follow requests the updates of all other instances that the receiver knows.
	Follow bool `msgpack:"o,omitempty"`
	// Hub is set if the sender is a hub. A receiver forwards the updates of its
	// followers to the hubs, but not those that a hub sent it.
	Hub bool `msgpack:"b,omitempty"`
	// ReceivedCursor is the position up to which the sender has the receiver's
	// updates.
	ReceivedCursor UpdateCursor `msgpack:"r"`
}

// UpdateCursor is a position in the updates that one instance sends.
type UpdateCursor struct {
	//lint:ignore U1000 the codec reads its tag
	_msgpack struct{} `msgpack:",as_array"`

	// Table is the origin ID of the sending process.
	Table   uint64
	Version uint64
}

// InstanceUpdate is the state of one instance, sent by itself or forwarded.
type InstanceUpdate struct {
	// Origin is the ID of the incarnation that the state is of.
	Origin uint64
	// Seq is the sequence number that the origin gave the update.
	Seq uint64
	// AgeMillis is how long ago the origin made the update.
	AgeMillis int64
	// Identity is nil if the receiver has it already.
	Identity *Identity
	State    InstanceState
	// Spent has the changed totals of tokens that the origin has admitted since its
	// start, by account.
	Spent map[string]float64
	// FirstEvent is the number of the first event; each origin numbers its events
	// from 1.
	FirstEvent uint64
	Events     []InstanceEvent
}

// InstanceState is the part of an update that replaces its predecessor as a whole.
type InstanceState struct {
	// Capacity is the instance's spare capacity for the work of a hub.
	Capacity int
	// Leaving is set by an instance that is draining.
	Leaving bool
	// StoreUnreachable is set by an instance that cannot reach the store.
	StoreUnreachable bool
	// StoreContactStale is set by an instance whose last contact with the store is too old
	// to tell whether its configuration is the newest.
	StoreContactStale bool
	// BlockedTargets is the number of targets that the origin reaches only through peers.
	BlockedTargets int
	// UnreachableTargets is the number of targets that it does not reach at all.
	UnreachableTargets int
	// OrderLease is the record of the order lease if the origin holds it.
	OrderLease *OrderLeaseRecord
	// ConfigVersion is the version of the origin's configuration; 0 for none.
	ConfigVersion int64
	// Loads is the load from requests that the origin has running, by target.
	Loads map[string]TargetLoad
	// LoadingTargets are the targets that the origin has ordered to load new
	// weights.
	LoadingTargets []string
	// CacheStores are the KV cache stores whose events the origin reads.
	CacheStores []CacheStore
	// SilentTargets are the targets from which the origin gets no response.
	SilentTargets []string
	// Rollouts are the ordered rollouts that are undecided or were decided recently.
	Rollouts []Rollout
	// TargetLimits are the rate limits that targets have reported to the origin.
	TargetLimits []TargetLimit
	// OverdueInstances maps the instances without a recent update at the origin to
	// the milliseconds since their last update or, if later, their last
	// announcement in the store. Only the instance of highest rank (hubs.Compare)
	// reports them.
	OverdueInstances map[string]int64
	// Demand is what the origin's callers have asked for recently.
	Demand []AccountDemand
	// PlainLoads is the number of requests that the origin has in flight at targets of plain
	// services, by target, and of those that arrive in ten seconds, by "*" and the service. Only
	// services with fewer slots than the fleet has instances are included.
	PlainLoads map[string]int
	// TargetRates are a few of the capacities of targets that the origin has measured.
	// Receivers keep them.
	TargetRates []TargetRate
	// SlowTargets are a few targets that answer the origin far later than they usually do.
	SlowTargets []string
	// MemoryClaims are the origin's claims to room in the memory of targets.
	MemoryClaims []MemoryClaim
	// BlockedPieces are the pieces of prompts that the origin blocks, or has released, because
	// targets crash.
	BlockedPieces []BlockedPiece
	// NewConnections is the rate of new connections of callers per second, rounded down to a
	// power of two; 0 for few.
	NewConnections int
}

// BlockedPiece is a piece of prompts that is blocked; see crashpieces.Block. Ages are at the time of
// the update.
type BlockedPiece struct {
	Piece            uint64 `msgpack:"p"`
	FirstCrashMillis int64  `msgpack:"f"`
	CrashMillis      int64  `msgpack:"c"`
	SeenMillis       int64  `msgpack:"s"`
	FailedProbes     int    `msgpack:"n,omitempty"`
	Released         bool   `msgpack:"r,omitempty"`
}

// sameBlock reports whether two states of a block differ in their ages only. These are published
// with other changes.
func sameBlock(a, b BlockedPiece) bool {
	return a.Piece == b.Piece && a.FailedProbes == b.FailedProbes && a.Released == b.Released
}

// MemoryClaim is a claim to room in the memory of a target; see placement.MemoryClaim.
type MemoryClaim struct {
	Target string `msgpack:"t"`
	Tokens int    `msgpack:"n"`
	Ticket uint64 `msgpack:"k"`
}

// AccountDemand is the demand of one account in one class of urgency.
type AccountDemand struct {
	//lint:ignore U1000 the codec reads its tag
	_msgpack struct{} `msgpack:",as_array"`

	// ChargedToRate is set if the row is the demand for tokens of the account's rate, and
	// not that for targets of a service.
	ChargedToRate bool
	// Service is empty if there is one service of model servers only.
	Service string
	// Account is empty for all accounts that the update doesn't name.
	Account string
	// Urgency is from 0, the most urgent, upwards.
	Urgency int
	// TokensPerSecond is the rate of prompt tokens to prefill or, of an account's rate, of
	// the tokens charged. MilliSlots is the mean number of
	// slots that the requests occupy, in thousandths.
	TokensPerSecond, MilliSlots int
	// WaitingTokens are the prompt tokens of the requests that wait for a target,
	// WaitingMilliSlots the milliseconds for which they will occupy slots.
	WaitingTokens, WaitingMilliSlots int
}

// TargetRate is the capacity of one incarnation of a target as its origin has measured it.
type TargetRate struct {
	//lint:ignore U1000 the codec reads its tag
	_msgpack struct{} `msgpack:",as_array"`

	Target string
	// Born is the target's start time, which distinguishes its incarnations.
	Born int64
	// PrefillTokensPerSecond is its prefill rate, Samples the number of responses measured.
	PrefillTokensPerSecond int
	Samples                int
}

// Equal reports whether two states are the same.
func (s *InstanceState) Equal(o *InstanceState) bool {
	if (s.OrderLease == nil) != (o.OrderLease == nil) || s.OrderLease != nil && *s.OrderLease != *o.OrderLease {
		return false
	}
	return s.Capacity == o.Capacity && s.Leaving == o.Leaving && s.StoreUnreachable == o.StoreUnreachable && s.StoreContactStale == o.StoreContactStale && s.NewConnections == o.NewConnections && s.BlockedTargets == o.BlockedTargets && s.UnreachableTargets == o.UnreachableTargets && s.ConfigVersion == o.ConfigVersion &&
		maps.Equal(s.Loads, o.Loads) && maps.Equal(s.OverdueInstances, o.OverdueInstances) && slices.Equal(s.LoadingTargets, o.LoadingTargets) &&
		slices.Equal(s.CacheStores, o.CacheStores) && slices.Equal(s.SilentTargets, o.SilentTargets) &&
		slices.Equal(s.TargetLimits, o.TargetLimits) && slices.Equal(s.Rollouts, o.Rollouts) &&
		slices.Equal(s.Demand, o.Demand) && maps.Equal(s.PlainLoads, o.PlainLoads) &&
		slices.Equal(s.TargetRates, o.TargetRates) && slices.Equal(s.SlowTargets, o.SlowTargets) &&
		slices.Equal(s.MemoryClaims, o.MemoryClaims) && slices.EqualFunc(s.BlockedPieces, o.BlockedPieces, sameBlock)
}

// InstanceEvent is a prefilled prompt, outcomes of attempts, requests that were asked to come
// back, streams that began, evidence on pieces of prompts, or a request that lost the connection to
// its target.
type InstanceEvent struct {
	Prompt *PrefilledPrompt
	// Streams is set for streams that began at one software version of a service.
	Streams *BegunStreams
	// Returns is set for refused requests that have been promised room.
	Returns []ReturningRequest
	// Evidence is set for outcomes of attempts during an ordered rollout.
	Evidence *RolloutEvidence
	// Pieces is set for evidence on pieces of prompts under which targets crash.
	Pieces *PieceReport
	// CrashFingerprint is the fingerprint of a request that lost the connection to its
	// target, probably by a crash; 0 for none.
	CrashFingerprint uint64
	// CrashTarget is the hash of the target's incarnation.
	CrashTarget uint64
}

// PieceReport is a crash of a target, with the pieces of prompts that count against, and the last
// healthy answers to pieces; see crashpieces. Ages are at the time of the update.
type PieceReport struct {
	// Target identifies the target that crashed; 0 if there are healthy answers only.
	Target    uint64       `msgpack:"t,omitempty"`
	AgeMillis uint64       `msgpack:"a,omitempty"`
	Lost      []PieceValue `msgpack:"l,omitempty"` // with the number of requests lost
	Healthy   []PieceValue `msgpack:"s,omitempty"` // with the milliseconds since the answer began
}

// PieceValue is a piece of prompts with a number.
type PieceValue struct {
	//lint:ignore U1000 the codec reads its tag
	_msgpack struct{} `msgpack:",as_array"`

	Piece, Value uint64
}

// ReturningRequest is a refused request that goes ahead of new ones when it comes back.
type ReturningRequest struct {
	Fingerprint uint64
	// AfterMillis is how long after the update it was asked to come back.
	AfterMillis uint64
}

// BegunStreams are streams with the same origin; see streamorigin.
type BegunStreams struct {
	Service  string
	Software string
	Streams  []uint64
}

// TargetLoad is the load that one instance's requests put on a target.
type TargetLoad struct {
	// PendingPromptTokens is the number of prompt tokens of requests without a first
	// output token.
	PendingPromptTokens int
	// KVCacheTokens is the KV cache memory of running requests, in tokens.
	KVCacheTokens int
	// Requests is the number of requests in flight.
	Requests int
}

// TargetLimit is the rate limit that a target reports.
type TargetLimit struct {
	Target string `msgpack:"t"`
	// Born is the target's start time, which distinguishes its incarnations.
	Born int64 `msgpack:"b"`
	// Service is the service of the target.
	Service string `msgpack:"s,omitempty"`
	// Rate is the number of requests per second that it accepts from all instances
	// together; 0 for no limit.
	Rate float64 `msgpack:"r,omitempty"`
	// Rejections is the number of requests per second that it can reject for want of
	// room; 0 for any number.
	Rejections float64 `msgpack:"j,omitempty"`
	// Revision is incremented with each change of the rate.
	Revision uint64 `msgpack:"c"`
	// Room is the number of requests that the target had room for after its latest
	// rejection; 0 if it has rejected none. RoomRevision is incremented with each change.
	Room         int    `msgpack:"o,omitempty"`
	RoomRevision uint64 `msgpack:"v,omitempty"`
}

// Rollout is what one instance knows of an ordered rollout and does for it.
type Rollout struct {
	Service  string `msgpack:"s"`
	Revision int64  `msgpack:"r"`
	// Phase is a canary.Phase. Permitted is the phase of the permit that the instance follows.
	Phase     int `msgpack:"p,omitempty"`
	Permitted int `msgpack:"q,omitempty"`
	// Suspected is set if the instance has judged the new version bad.
	Suspected bool `msgpack:"b,omitempty"`
	// StableRunning is the number of the instance's attempts at targets of the old version.
	StableRunning int `msgpack:"n,omitempty"`
	// Granted is set by the holder of the order lease: Share and Canaries are those of its
	// permit.
	Granted  bool    `msgpack:"g,omitempty"`
	Share    float64 `msgpack:"f,omitempty"`
	Canaries int     `msgpack:"c,omitempty"`
}

// RolloutOrder is an ordered rollout, with its decision if there is one.
type RolloutOrder struct {
	Service    string `msgpack:"s"`
	Version    string `msgpack:"v"`
	DurationMs int64  `msgpack:"d"`
	Revision   int64  `msgpack:"r"`
	// AgeMillis is how long ago the order was first known.
	AgeMillis int64 `msgpack:"a"`
	// Phase is a canary.Phase. Reported is set once operators have been told a final phase.
	Phase    int  `msgpack:"p,omitempty"`
	Reported bool `msgpack:"o,omitempty"`
}

// RolloutEvidence are outcomes of attempts during a rollout.
type RolloutEvidence struct {
	// Revision is that of the order.
	Revision int64
	Samples  []RolloutSample
}

// RolloutSample counts equal outcomes; see canary.Sample.
type RolloutSample struct {
	Route, Target uint32
	Failed        bool
	Bucket        uint8
	Count         uint32
}

// PrefilledPrompt is a prompt that a target has prefilled.
type PrefilledPrompt struct {
	Target string
	// Born is the target's start time, which distinguishes its incarnations.
	Born int64
	// SharedPieces are the hashes of the prompt's shared pieces.
	SharedPieces []uint64
	// CachedTokens is the number of tokens that the request has added to the target's
	// cache.
	CachedTokens int
	// CacheScope and SavedPieces are set if the target saves the pieces to a store.
	CacheScope  string
	SavedPieces []uint64
}

// CacheStore is a KV cache store that responds.
type CacheStore struct {
	Address string `msgpack:"a"`
	// BootEpoch differs for each start of the store.
	BootEpoch int64 `msgpack:"b"`
}

// ExchangeResponse is the response to an Exchange.
type ExchangeResponse struct {
	// ConfigVersion is the version of the responder's configuration; 0 for none.
	ConfigVersion int64 `msgpack:"v"`
	// StoreContactAgeMillis is how long ago the responder, directly or through a
	// peer, last read the operators' records from the store; -1 for never.
	StoreContactAgeMillis int64 `msgpack:"a"`
	// OperatorsOffset is the offset up to which the responder has the operators'
	// records; -1 if it has not read them yet.
	OperatorsOffset int64 `msgpack:"o"`
	// Weights are the most recently named weights versions, oldest first.
	Weights []NamedWeights `msgpack:"w,omitempty"`
	// Rollouts are the newest ordered rollout of each service.
	Rollouts []RolloutOrder `msgpack:"c,omitempty"`
	// ServiceBounds are those of the caller's unknown services.
	ServiceBounds []ServiceBound `msgpack:"b,omitempty"`
	// Registrations are the new target registrations; nil if the caller is to get
	// them from another instance.
	Registrations *RegistrationChanges `msgpack:"t,omitempty"`
	Leaving       bool                 `msgpack:"x,omitempty"`
	// FleetSize is the number of instances that the responder knows, itself
	// included. From it, a caller that knows only a few of them learns that the
	// fleet is large enough to have hubs.
	FleetSize int `msgpack:"n"`
	// Updates are those of all other instances, for a caller that set Follow, and
	// Cursor their end.
	Updates []InstanceUpdate `msgpack:"u,omitempty"`
	Cursor  UpdateCursor     `msgpack:"p"`
	// NeedsResync is set if the responder lacks what an update is relative to: the
	// caller must send its whole table again.
	NeedsResync bool `msgpack:"l,omitempty"`
}

// ServiceBound is what the targets of a service are taken to bear that have not answered yet.
type ServiceBound struct {
	Service string `msgpack:"s"`
	// Rejections is the number of requests per second that each can reject for want of room; 0 for
	// any number.
	Rejections float64 `msgpack:"j,omitempty"`
	// Settled is set if the responder served before the caller may have started.
	Settled bool `msgpack:"e,omitempty"`
}

// RegistrationChanges are the changes in the target registrations since the offset
// in the request.
type RegistrationChanges struct {
	// NextOffset is the offset after the events.
	NextOffset int64 `msgpack:"n"`
	// AgeMillis is how long ago the responder read up to NextOffset.
	AgeMillis int64             `msgpack:"a"`
	Events    []directory.Event `msgpack:"e,omitempty"`
}

// NamedWeights is a weights version of a model that operators have named.
type NamedWeights struct {
	Model   string `msgpack:"m"`
	Version int64  `msgpack:"v"`
	// AgeMillis is how long ago it was named, as far as is known.
	AgeMillis int64 `msgpack:"a"`
	// Observed is set if the age comes from an instance that received the version
	// when it was named; otherwise the age is an estimate.
	Observed bool `msgpack:"h,omitempty"`
}
