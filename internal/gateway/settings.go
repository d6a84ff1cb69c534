package gateway

import (
	"time"

	"github.com/mastictray/mastictray/internal/targetconn"
)

// Settings holds the settings of a gateway.
type Settings struct {
	Instance string
	Domain   string

	// Capacity is the instance's spare capacity for the work of a hub. Instances with
	// more capacity rank first.
	Capacity int
	// LinkMbps is the rate of the instance's link in Mbit/s.
	LinkMbps float64

	CallerListen  string
	ReadyListen   string
	PeerListen    string
	MetricsListen string

	// Features are the optional parts that the deployment calls for.
	Features Features
	// MemoryBytes is the memory of the instance; 0 means no limit.
	MemoryBytes int64
	// MaxCallerConnections is the number of connections above which callers are evicted; 0
	// means no limit.
	MaxCallerConnections int

	// DialTarget establishes connections to targets; nil for the default of targetconn.
	DialTarget targetconn.DialFunc

	// KeyCutoff is the time without contact with the store after which requests with
	// keys are refused: a key may have been withdrawn meanwhile.
	KeyCutoff time.Duration
	// KeyReadyAge is the time without contact with the store after which the instance
	// reports itself as not ready to the balancer.
	KeyReadyAge time.Duration
	// RetryRatio is the number of retries allowed per request of a service,
	// RetryReserve the maximum number of retries saved up over the whole fleet.
	RetryRatio   float64
	RetryReserve float64
	// RetryCarry is the number of retries that may be saved up in addition for each request of
	// about the last 10 s.
	RetryCarry float64
	// WeightsBound is the time after the naming of a version within which the last
	// request on older weights may begin.
	WeightsBound time.Duration
	// ConfigBound is the time within which a new configuration must be active on all
	// instances.
	ConfigBound time.Duration
	// DrainBound is the time within which a target that announces that it drains must
	// stop getting new requests.
	DrainBound time.Duration
	// LeaseGap is the minimum time between orders of two instances to the same target.
	LeaseGap time.Duration
	// ExposureShare is the largest fraction of a service's requests, and ExposureSlack the
	// number in addition, that a bad version of its targets' software may get during a rollout
	// that operators have ordered.
	ExposureShare float64
	ExposureSlack float64
	// RollbackBound is the time after which a version known to be bad gets no more requests.
	RollbackBound time.Duration
	// PrefillTokensPerSecond is the prefill rate of a model server.
	PrefillTokensPerSecond float64
	// BalancerLag is the time for which callers are still sent to the instance after it
	// reports that it isn't ready. DrainTimeout bounds the requests that run after
	// that.
	BalancerLag  time.Duration
	DrainTimeout time.Duration
}

// Features are the optional parts that a deployment calls for.
type Features struct {
	// Contention is set where callers compete for too little room: requests are admitted by
	// urgency and fair share over all instances.
	Contention bool
	// BoundedMemory is set where callers and targets may read slowly and targets fail if the
	// requests that they hold exceed their memory.
	BoundedMemory bool
	// LargePools is set where services have many targets, so that an instance seldom sends to
	// the same one: instances tell each other which targets accept no connections.
	LargePools bool
}
