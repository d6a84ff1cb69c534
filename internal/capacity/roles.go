package capacity

import (
	"math"

	"github.com/mastictray/mastictray/internal/slopes"
)

// Cost is the cost of a role on one node.
type Cost struct {
	Role string
	// MessagesPerSecond counts messages sent and received.
	MessagesPerSecond float64
	Cores             float64 // CPU time per second, in cores
	MemoryBytes       float64
	BytesPerSecond    float64 // sent and received
}

// SlopeSet maps the names of slopes to slopes.
type SlopeSet map[string]slopes.Slope

const (
	secondsPerNanosecond = 1e-9
	// loadPollBytes is the size of a GET /load request and its response with
	// headers, counted from docs/PROTOCOLS.md.
	loadPollBytes = 450
	// digestBytes is the size of one target's load in a digest.
	digestBytes = 4
	// meanChangedFileBytes is the assumed mean size of a changed configuration file.
	meanChangedFileBytes = 2000
	// requestsPerCore is the number of requests that an entry instance handles per
	// second of CPU time, and streamBytes its memory per open stream: the worst
	// results of the whole-path benchmark runs listed in docs/CAPACITY.md.
	requestsPerCore = 3032.0
	streamBytes     = 26214.0
	// pieceBytes is the number of prompt bytes in one cached piece.
	pieceBytes = 16384
	// listRowBytes is the size of one instance or target in the platform's list
	// (names, address and domain in JSON), as internal/entry estimates it.
	listRowBytes = 100
	// messagesPerExchange counts a request for tokens, a grant and a report.
	messagesPerExchange = 3
	// recordsPerBooking counts a claim and a result.
	recordsPerBooking = 2
)

// RoleCosts returns the costs of all roles on one node. The first is serving, which
// isn't a control role.
func RoleCosts(f Fleet, d Design, s SlopeSet) []Cost {
	return []Cost{
		servingCost(f, s), loadReportCost(f, d), cacheEventCost(f, d, s), membershipCost(f, d, s), peerExchangeCost(f, d, s), logFollowerCost(f, d, s),
		leaseHolderCost(f, d, s), rateShareCost(f, d, s), claimCost(f, d, s), auditCost(f, s),
	}
}

// ControlTotal returns the sum of all costs except the first, that of serving.
func ControlTotal(costs []Cost) Cost {
	sum := Cost{Role: "control, together"}
	for _, c := range costs[1:] {
		sum.MessagesPerSecond += c.MessagesPerSecond
		sum.Cores += c.Cores
		sum.MemoryBytes += c.MemoryBytes
		sum.BytesPerSecond += c.BytesPerSecond
	}
	return sum
}

// servingCost is the cost of a node's share of the requests. The slopes give the
// part that depends on prompt size, targets and accounts; requestsPerCore adds the
// rest of the request path.
func servingCost(f Fleet, s SlopeSet) Cost {
	decisionNanos := s["decision"].At(f.Targets/f.Models) + s["queue"].At(f.Accounts) + s["prefix-hash"].PerUnit*f.MeanPromptBytes
	return Cost{
		Role: "serving", MessagesPerSecond: f.nodeRequestsPerSecond(), Cores: f.nodeRequestsPerSecond() * (decisionNanos*secondsPerNanosecond + 1/requestsPerCore),
		MemoryBytes: s["pool-memory"].At(f.Targets) + f.openStreamsPerNode()*streamBytes,
	}
}

func loadReportCost(f Fleet, d Design) Cost {
	c := Cost{Role: "load reports"}
	if !d.SharedLoadPolling {
		c.MessagesPerSecond = f.Targets / d.LoadPollIntervalSeconds
		c.BytesPerSecond = c.MessagesPerSecond * loadPollBytes
		return c
	}
	pollsPerSecond := f.Targets / f.Nodes / d.LoadPollIntervalSeconds
	digestBytesPerSecond := f.Targets / f.Domains * digestBytes / d.LoadPollIntervalSeconds
	c.MessagesPerSecond = pollsPerSecond + (1+d.DigestFanOut)/d.LoadPollIntervalSeconds
	c.BytesPerSecond = pollsPerSecond*loadPollBytes + (1+d.DigestFanOut)*digestBytesPerSecond
	return c
}

// BlockLifetimeSeconds returns the mean time for which a block stays cached,
// assuming that half of the cache events store a block and half evict one.
func (f Fleet) BlockLifetimeSeconds() float64 { return f.CachedBlocks / (f.CacheEventsPerSecond / 2) }

// cacheEventCost is the cost of the cache index. It is filled from the cache events
// of all targets, or without ReadCacheEvents from the node's own responses.
func cacheEventCost(f Fleet, d Design, s SlopeSet) Cost {
	if d.ReadCacheEvents {
		return Cost{
			Role: "cache-event reader", MessagesPerSecond: f.CacheEventsPerSecond, Cores: f.CacheEventsPerSecond * s["event-apply"].PerUnit * secondsPerNanosecond,
			MemoryBytes:    math.Min(d.CacheIndexBytes, f.CachedBlocks*s["cache-index-memory"].PerUnit),
			BytesPerSecond: f.CacheEventsPerSecond * s["event-bytes"].PerUnit,
		}
	}
	piecesPerSecond := f.nodeRequestsPerSecond() * f.MeanPromptBytes / pieceBytes
	return Cost{
		Role: "cache index from own answers", Cores: piecesPerSecond * s["event-apply"].PerUnit * secondsPerNanosecond,
		MemoryBytes: s["cache-index-memory"].PerUnit * piecesPerSecond * f.BlockLifetimeSeconds(),
	}
}

// membershipCost is the cost of the membership protocol and of reading the
// platform's list. The slopes count sent messages only; a node receives as many.
func membershipCost(f Fleet, d Design, s SlopeSet) Cost {
	sentBytesPerSecond := s["membership-bytes"].At(f.Nodes) + s["membership-change-bytes"].At(f.Nodes)*(f.ReplacementsPerDay+f.FailuresPerDay)/secondsPerDay
	listBytesPerSecond := math.Min((f.Nodes+f.Targets)*listRowBytes/d.ListIntervalSeconds, d.ListBytesPerSecond)
	return Cost{
		Role: "membership", MessagesPerSecond: 2 * s["membership-messages"].At(f.Nodes),
		Cores:       s["membership-time"].At(f.Nodes) * secondsPerNanosecond,
		MemoryBytes: s["membership-memory"].At(f.Nodes), BytesPerSecond: 2*sentBytesPerSecond + listBytesPerSecond,
	}
}

// peerExchangeCost is the cost of heartbeats, which carry only rate hints. A node
// stores a balance for each peer and account in its hints.
func peerExchangeCost(f Fleet, d Design, s SlopeSet) Cost {
	peers := d.HeartbeatPeers
	if peers == 0 {
		peers = f.Nodes - 1
	}
	hints := math.Min(f.Accounts, d.HintsPerHeartbeat)
	callsPerSecond := 2 * peers / d.HeartbeatIntervalSeconds // sent and answered
	return Cost{
		Role: "peer exchange", MessagesPerSecond: 2 * callsPerSecond, Cores: callsPerSecond * s["heartbeat-time"].At(hints) * secondsPerNanosecond,
		MemoryBytes: peers * hints * s["rate-hint-memory"].PerUnit, BytesPerSecond: 2 * callsPerSecond * s["heartbeat-bytes"].At(hints),
	}
}

func logFollowerCost(f Fleet, d Design, s SlopeSet) Cost {
	recordsPerSecond := f.changesPerSecond() * (1 + d.RelayFanOut)
	snapshotBytesPerSecond := f.ReplacementsPerDay / secondsPerDay / f.Nodes * s["config-state"].At(f.Targets)
	return Cost{
		Role: "log follower", MessagesPerSecond: recordsPerSecond, Cores: f.changesPerSecond() * s["config-fold"].At(f.Targets) * secondsPerNanosecond,
		MemoryBytes: s["config-memory"].At(f.Targets), BytesPerSecond: recordsPerSecond*s["config-record"].At(meanChangedFileBytes) + 2*snapshotBytesPerSecond,
	}
}

func (f Fleet) renewalsPerSecond(d Design) float64 {
	holders := f.Nodes
	if d.RateSlotsPerDomain > 0 {
		holders = math.Min(f.Nodes, f.Domains*d.RateSlotsPerDomain)
	}
	return holders / d.RenewIntervalSeconds
}

func leaseHolderCost(f Fleet, d Design, s SlopeSet) Cost {
	recordsPerSecond := f.renewalsPerSecond(d) + 2*f.ReplacementsPerDay/secondsPerDay
	return Cost{
		Role: "lease holder", MessagesPerSecond: recordsPerSecond, Cores: recordsPerSecond * s["lease-fold"].PerUnit * secondsPerNanosecond,
		MemoryBytes: s["lease-memory"].PerUnit * f.Nodes, BytesPerSecond: recordsPerSecond * s["lease-record"].At(1),
	}
}

// activeAccounts returns the expected number of accounts with at least one request
// at a node within the given time, if the request rate of the n-th account is
// proportional to 1/n.
func (f Fleet) activeAccounts(seconds float64) float64 {
	active, totalWeight := 0.0, 0.0
	for n := 1.0; n <= f.Accounts; n++ {
		totalWeight += 1 / n
	}
	for n := 1.0; n <= f.Accounts; n++ {
		active += 1 - math.Pow(1-1/n/totalWeight, seconds*f.nodeRequestsPerSecond())
	}
	return active
}

// rateShareCost is the cost of the token buckets and of moving tokens between
// nodes. Each message counts twice, for its sender and its receiver.
func rateShareCost(f Fleet, d Design, s SlopeSet) Cost {
	bytesSlope := s["rate-exchange-bytes"]
	exchangesPerSecond := 2 * f.nodeRequestsPerSecond() * d.RateMessagesPerRequest / messagesPerExchange
	accountsPerSecond := exchangesPerSecond // one account per exchange
	if d.RateAskIntervalSeconds > 0 {
		homeNodes := f.Nodes / f.Domains
		active := f.activeAccounts(d.RateAskIntervalSeconds)
		accountsPerSecond = 2 * active / d.RateAskIntervalSeconds
		exchangesPerSecond = 2 * homeNodes * (1 - math.Exp(-active/homeNodes)) / d.RateAskIntervalSeconds
	}
	return Cost{
		Role: "rate shares", MessagesPerSecond: messagesPerExchange * exchangesPerSecond,
		Cores:       (f.nodeRequestsPerSecond()*s["rate-admit"].At(f.Accounts) + exchangesPerSecond*s["heartbeat-time"].At(accountsPerSecond/exchangesPerSecond)) * secondsPerNanosecond,
		MemoryBytes: s["rate-memory"].At(f.Accounts), BytesPerSecond: exchangesPerSecond*bytesSlope.Fixed + accountsPerSecond*bytesSlope.PerUnit,
	}
}

// claimCost is the cost of following the node's share of the claim streams and of
// appending records for its own requests.
func claimCost(f Fleet, d Design, s SlopeSet) Cost {
	followedPerSecond := f.bookingsPerSecond() / d.ClaimStreams
	ownPerSecond := f.bookingsPerSecond() / f.Nodes
	keys := f.bookingsPerSecond() * d.ClaimRetentionSeconds
	if d.ClaimReplicas > 0 {
		keys *= d.ClaimReplicas / f.Nodes
	}
	return Cost{
		Role: "claims", MessagesPerSecond: recordsPerBooking * (followedPerSecond + ownPerSecond), Cores: followedPerSecond * s["claim-fold"].PerUnit * secondsPerNanosecond,
		MemoryBytes: math.Min(keys, d.MaxClaimKeys) * s["claim-memory"].PerUnit, BytesPerSecond: (followedPerSecond + ownPerSecond) * s["claim-bytes"].PerUnit,
	}
}

// maxAuditEntries is the maximum length of the audit trail in the configuration
// state.
const maxAuditEntries = 512

func auditCost(f Fleet, s SlopeSet) Cost {
	return Cost{
		Role: "audit", Cores: f.changesPerSecond() * s["audit-append"].At(maxAuditEntries) * secondsPerNanosecond,
		MemoryBytes: s["audit-bytes"].At(maxAuditEntries),
	}
}
