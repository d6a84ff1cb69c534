package gateway

import "time"

// Settings of a gateway.
type Settings struct {
	Instance string
	Domain   string

	// Capacity is the work of hubs that the instance can do beside its own; those
	// with more take the fleet's duties first.
	Capacity int
	// LinkMbps is the rate of the instance's link in Mbit/s.
	LinkMbps float64

	CallerListen  string
	ReadyListen   string
	PeerListen    string
	MetricsListen string

	// KeyCutoff is the time without contact with the store after which requests
	// with keys are refused: a key may have been withdrawn meanwhile.
	KeyCutoff time.Duration
	// KeyReadyAge is the time without contact after which the instance asks the
	// balancer for no more callers.
	KeyReadyAge time.Duration
	// RetryRatio is the repeated sends for each request of a service, and
	// RetryReserve the most that are saved up, over the whole fleet.
	RetryRatio   float64
	RetryReserve float64
	// WeightsBound is the time after which no request may begin on older
	// weights than the newest named.
	WeightsBound time.Duration
	// ConfigBound is the time after which a configuration must be in force.
	ConfigBound time.Duration
	// DrainBound is the time after which a target that said that it drains
	// must get no new work.
	DrainBound time.Duration
	// LeaseGap is the least time between orders of two instances to a target.
	LeaseGap time.Duration
	// PrefillTokensPerSecond is the prefill rate of a model server.
	PrefillTokensPerSecond float64
	// BalancerLag is how long callers are still sent here after the instance
	// said that it is not ready; DrainTimeout bounds what runs after that.
	BalancerLag  time.Duration
	DrainTimeout time.Duration
}
