package capacity

// Design holds the parameters of the control roles that their cost depends on.
type Design struct {
	Name string
	// HeartbeatPeers is the number of peers that a node sends a heartbeat with
	// HintsPerHeartbeat rate hints to in each interval; 0 means all nodes.
	HeartbeatPeers, HeartbeatIntervalSeconds, HintsPerHeartbeat float64
	// ListIntervalSeconds is the minimum time between two reads of the
	// platform's instance list; ListBytesPerSecond limits the bytes read.
	ListIntervalSeconds, ListBytesPerSecond float64
	// LoadPollIntervalSeconds is the time between two polls of a target. With
	// SharedLoadPolling the nodes of a domain share the polling and forward
	// load digests along a tree of fan-out DigestFanOut.
	LoadPollIntervalSeconds, DigestFanOut float64
	SharedLoadPolling                     bool
	// ReadCacheEvents means that every node reads the cache events of all targets
	// into an index of at most CacheIndexBytes.
	ReadCacheEvents bool
	CacheIndexBytes float64
	// RateSlotsPerDomain is the number of leased rate slots in a domain; 0 means
	// one for each node. Each lease is renewed every RenewIntervalSeconds.
	RateSlotsPerDomain, RenewIntervalSeconds float64
	// RelayFanOut is the number of nodes that a node forwards log records to.
	RelayFanOut float64
	// RateAskIntervalSeconds, if not 0, is how far ahead a node requests tokens
	// from the account's home, a node of the same domain. One message covers all
	// accounts with the same home.
	RateAskIntervalSeconds float64
	// RateMessagesPerRequest is the number of rate exchange messages per request
	// if RateAskIntervalSeconds is 0.
	RateMessagesPerRequest float64
	// ClaimStreams is the number of log streams that claims are partitioned over,
	// ClaimBatchesPerSecond the rate of appends to each. ClaimReplicas is the
	// number of nodes that store a key (0 means all), ClaimRetentionSeconds how
	// long they keep it.
	ClaimStreams, ClaimBatchesPerSecond, ClaimReplicas, ClaimRetentionSeconds float64
	// MaxClaimKeys limits the number of keys that a node stores.
	MaxClaimKeys float64
}

// Rate exchange messages per request, from BenchmarkWrongfulRefusals of
// internal/ratelease with all links up: one hour of demand at 95% of the rate, 80% of it
// at one of six instances. Requests arrive as a Poisson process, or are deferred by
// their callers to stay within the limit, which takes more messages.
const (
	poissonMessagesPerRequest  = 18.51
	deferredMessagesPerRequest = 47.46
)

// CurrentDesign returns the parameters of the implementation.
func CurrentDesign() Design {
	return Design{
		Name: "as built", HeartbeatIntervalSeconds: 0.3, HintsPerHeartbeat: 64, LoadPollIntervalSeconds: 0.25, RenewIntervalSeconds: 3,
		ListIntervalSeconds: 0.5, ListBytesPerSecond: 12 << 10, RateSlotsPerDomain: 2,
		ReadCacheEvents: true, CacheIndexBytes: 16 << 20, RateMessagesPerRequest: poissonMessagesPerRequest,
		ClaimStreams: 1, ClaimRetentionSeconds: secondsPerDay, MaxClaimKeys: 32768,
	}
}

// PlannedDesign returns the parameters of the design for the required fleet size.
// Most of it isn't implemented.
func PlannedDesign() Design {
	return Design{
		Name: "by design", HeartbeatPeers: 4, HeartbeatIntervalSeconds: 2, HintsPerHeartbeat: 8,
		ListIntervalSeconds: 0.5, ListBytesPerSecond: 4 << 10, LoadPollIntervalSeconds: 2, DigestFanOut: 2, SharedLoadPolling: true, RateSlotsPerDomain: 2, RenewIntervalSeconds: 3, RelayFanOut: 2, RateAskIntervalSeconds: 4,
		ClaimStreams: 64, ClaimBatchesPerSecond: 5, ClaimReplicas: 3, ClaimRetentionSeconds: secondsPerDay / 2, MaxClaimKeys: 65536,
	}
}
