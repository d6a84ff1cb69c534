package capacity

// Design is how the roles work: the numbers that the arithmetic needs.
type Design struct {
	Name string
	// HeartbeatPeers are the peers called with rate hints each HeartbeatEvery seconds; 0 is
	// all nodes.
	HeartbeatPeers, HeartbeatEvery, HeartbeatHints float64
	// ListEvery is the least seconds between two reads of the platform's
	// list of instances, and ListRate the most bytes a second spent on it.
	ListEvery, ListRate float64
	// LoadEvery is the seconds between two polls of a target. With
	// SharedLoads the nodes of a domain share the polling and pass digests
	// on along a tree of DigestFanOut.
	LoadEvery, DigestFanOut float64
	SharedLoads             bool
	// ReadEvents: every node reads the cache events of all targets, and
	// keeps what fits in CacheIndexBytes bytes.
	ReadEvents      bool
	CacheIndexBytes float64
	// MintSlots are the leases of a domain; 0 is one for each node.
	MintSlots, RenewEvery float64
	// Relays is the nodes that one node passes records on to.
	Relays float64
	// AskEvery, when not 0, is the seconds for which tokens are asked for
	// ahead, at the one node of the domain that is the account's home, with
	// one message for all accounts that have their home there.
	AskEvery float64
	// RateMessages is the messages of the rate exchange for one request
	// otherwise.
	RateMessages float64
	// ClaimStreams is the number of streams that claims are spread over;
	// ClaimBatches the appends a second to each; ClaimCopies the nodes that
	// remember a key (0: all); ClaimWindow the seconds it is remembered.
	ClaimStreams, ClaimBatches, ClaimCopies, ClaimWindow float64
	// ClaimKeys bounds the keys that one node remembers.
	ClaimKeys float64
}

// Messages a request, by BenchmarkWrongfulRefusals of internal/ratelease with all
// links up: one hour of demand at 95% of the rate, 80% of it at one of six
// instances. Demand that waits for the limit at its caller takes more.
const (
	poissonMessages = 18.51
	putOffMessages  = 47.46
)

// AsBuilt is what runs today.
func AsBuilt() Design {
	return Design{
		Name: "as built", HeartbeatEvery: 0.3, HeartbeatHints: 64, LoadEvery: 0.25, RenewEvery: 3,
		ListEvery: 0.5, ListRate: 12 << 10, MintSlots: 2,
		ReadEvents: true, CacheIndexBytes: 16 << 20, RateMessages: poissonMessages,
		ClaimStreams: 1, ClaimWindow: secondsPerDay, ClaimKeys: 32768,
	}
}

// ForTarget is what is to be built as the fleet grows.
func ForTarget() Design {
	return Design{
		Name: "by design", HeartbeatPeers: 4, HeartbeatEvery: 2, HeartbeatHints: 8,
		ListEvery: 0.5, ListRate: 4 << 10, LoadEvery: 2, DigestFanOut: 2, SharedLoads: true, MintSlots: 2, RenewEvery: 3, Relays: 2, AskEvery: 4,
		ClaimStreams: 64, ClaimBatches: 5, ClaimCopies: 3, ClaimWindow: secondsPerDay / 2, ClaimKeys: 65536,
	}
}
