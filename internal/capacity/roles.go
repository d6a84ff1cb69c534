package capacity

import (
	"math"

	"github.com/mastictray/mastictray/internal/slopes"
)

// Cost is what a role costs one node.
type Cost struct {
	Role string
	// Messages a second, sent and received.
	Messages float64
	Core     float64 // part of a core
	Memory   float64 // bytes
	Rate     float64 // bytes a second, sent and received
}

// Set finds slopes by name.
type Set map[string]slopes.Slope

const (
	nanosecond = 1e-9
	// loadPollBytes is a GET /load with its answer, headers included,
	// counted from the protocol page.
	loadPollBytes = 450
	// digestBytes is one target's load in a digest.
	digestBytes = 4
	// changedFileBytes is the mean size of a changed file; assumed.
	changedFileBytes = 2000
	// requestsPerCore and streamBytes are the entry's requests for a processor
	// second and memory for an open stream: the worst of the runs of the
	// whole-path benchmarks that the page names.
	requestsPerCore = 3032.0
	streamBytes     = 26214.0
	// pieceBytes is the prompt bytes in one cached piece.
	pieceBytes = 16384
	// listRowBytes is one instance or target in the platform's list: names,
	// address and domain in JSON, as internal/entry counts them.
	listRowBytes = 100
	// messagesPerExchange are an ask, a grant and a report.
	messagesPerExchange = 3
	// recordsPerBooking are a claim and a result.
	recordsPerBooking = 2
)

// Costs are the costs of all roles; the first is serving, which is not
// control.
func Costs(f Fleet, d Design, s Set) []Cost {
	return []Cost{
		serving(f, s), loadReports(f, d), cacheEvents(f, d, s), membership(f, d, s), peerExchange(f, d, s), logFollower(f, d, s),
		leaseHolder(f, d, s), rateShares(f, d, s), claims(f, d, s), auditTrail(f, s),
	}
}

// Control adds up all roles but serving.
func Control(costs []Cost) Cost {
	sum := Cost{Role: "control, together"}
	for _, c := range costs[1:] {
		sum.Messages += c.Messages
		sum.Core += c.Core
		sum.Memory += c.Memory
		sum.Rate += c.Rate
	}
	return sum
}

// serving is one node's part of the requests. Its slopes are in the prompt, the
// targets and the accounts; the rest of a request is that of the whole path.
func serving(f Fleet, s Set) Cost {
	decided := s["decision"].At(f.Targets/f.Models) + s["queue"].At(f.Accounts) + s["prefix-hash"].PerUnit*f.PromptBytes
	return Cost{
		Role: "serving", Messages: f.requests(), Core: f.requests() * (decided*nanosecond + 1/requestsPerCore),
		Memory: s["pool-memory"].At(f.Targets) + f.openStreams()*streamBytes,
	}
}

func loadReports(f Fleet, d Design) Cost {
	c := Cost{Role: "load reports"}
	if !d.SharedLoads {
		c.Messages = f.Targets / d.LoadEvery
		c.Rate = c.Messages * loadPollBytes
		return c
	}
	polled := f.Targets / f.Nodes / d.LoadEvery
	digest := f.Targets / f.Domains * digestBytes / d.LoadEvery
	c.Messages = polled + (1+d.DigestFanOut)/d.LoadEvery
	c.Rate = polled*loadPollBytes + (1+d.DigestFanOut)*digest
	return c
}

// Residence is how many seconds a block stays cached: half of the events
// store a block, and as many are evicted.
func (f Fleet) Residence() float64 { return f.CachedBlocks / (f.CacheEvents / 2) }

// cacheEvents is the reader of cache events, or without it what is known
// from own answers.
func cacheEvents(f Fleet, d Design, s Set) Cost {
	if d.ReadEvents {
		return Cost{
			Role: "cache-event reader", Messages: f.CacheEvents, Core: f.CacheEvents * s["event-apply"].PerUnit * nanosecond,
			Memory: math.Min(d.CacheIndexBytes, f.CachedBlocks*s["cache-index-memory"].PerUnit),
			Rate:   f.CacheEvents * s["event-bytes"].PerUnit,
		}
	}
	touched := f.requests() * f.PromptBytes / pieceBytes
	return Cost{
		Role: "cache index from own answers", Core: touched * s["event-apply"].PerUnit * nanosecond,
		Memory: s["cache-index-memory"].PerUnit * touched * f.Residence(),
	}
}

// membership is the view of the other instances. Its slopes count each message
// once, and a node sends and receives.
func membership(f Fleet, d Design, s Set) Cost {
	sent := s["membership-bytes"].At(f.Nodes) + s["membership-change-bytes"].At(f.Nodes)*(f.Replacements+f.Failures)/secondsPerDay
	list := math.Min((f.Nodes+f.Targets)*listRowBytes/d.ListEvery, d.ListRate)
	return Cost{
		Role: "membership", Messages: 2 * s["membership-messages"].At(f.Nodes),
		Core:   s["membership-time"].At(f.Nodes) * nanosecond,
		Memory: s["membership-memory"].At(f.Nodes), Rate: 2*sent + list,
	}
}

// peerExchange is the heartbeats, which carry rate hints only. What is
// remembered of a peer is a balance for each account hinted at.
func peerExchange(f Fleet, d Design, s Set) Cost {
	peers := d.HeartbeatPeers
	if peers == 0 {
		peers = f.Nodes - 1
	}
	hints := math.Min(f.Accounts, d.HeartbeatHints)
	calls := 2 * peers / d.HeartbeatEvery // made and answered
	return Cost{
		Role: "peer exchange", Messages: 2 * calls, Core: calls * s["heartbeat-time"].At(hints) * nanosecond,
		Memory: peers * hints * s["rate-hint-memory"].PerUnit, Rate: 2 * calls * s["heartbeat-bytes"].At(hints),
	}
}

func logFollower(f Fleet, d Design, s Set) Cost {
	received := f.changes() * (1 + d.Relays)
	starts := f.Replacements / secondsPerDay / f.Nodes * s["config-state"].At(f.Targets)
	return Cost{
		Role: "log follower", Messages: received, Core: f.changes() * s["config-fold"].At(f.Targets) * nanosecond,
		Memory: s["config-memory"].At(f.Targets), Rate: received*s["config-record"].At(changedFileBytes) + 2*starts,
	}
}

func (f Fleet) renewals(d Design) float64 {
	holders := f.Nodes
	if d.MintSlots > 0 {
		holders = math.Min(f.Nodes, f.Domains*d.MintSlots)
	}
	return holders / d.RenewEvery
}

func leaseHolder(f Fleet, d Design, s Set) Cost {
	records := f.renewals(d) + 2*f.Replacements/secondsPerDay
	return Cost{
		Role: "lease holder", Messages: records, Core: records * s["lease-fold"].PerUnit * nanosecond,
		Memory: s["lease-memory"].PerUnit * f.Nodes, Rate: records * s["lease-record"].At(1),
	}
}

// inUse is the expected number of accounts with a request at one node within
// so many seconds, when the n-th account asks in proportion to 1/n.
func (f Fleet) inUse(seconds float64) float64 {
	sum, total := 0.0, 0.0
	for n := 1.0; n <= f.Accounts; n++ {
		total += 1 / n
	}
	for n := 1.0; n <= f.Accounts; n++ {
		sum += 1 - math.Pow(1-1/n/total, seconds*f.requests())
	}
	return sum
}

// rateShares is the buckets and the transfers between them. A node sends and
// receives, so each message of the fleet counts twice.
func rateShares(f Fleet, d Design, s Set) Cost {
	bytes := s["rate-exchange-bytes"]
	exchanges := 2 * f.requests() * d.RateMessages / messagesPerExchange
	accounts := exchanges // one account in each
	if d.AskEvery > 0 {
		homes := f.Nodes / f.Domains
		inUse := f.inUse(d.AskEvery)
		accounts = 2 * inUse / d.AskEvery
		exchanges = 2 * homes * (1 - math.Exp(-inUse/homes)) / d.AskEvery
	}
	return Cost{
		Role: "rate shares", Messages: messagesPerExchange * exchanges,
		Core:   (f.requests()*s["rate-admit"].At(f.Accounts) + exchanges*s["heartbeat-time"].At(accounts/exchanges)) * nanosecond,
		Memory: s["rate-memory"].At(f.Accounts), Rate: exchanges*bytes.Fixed + accounts*bytes.PerUnit,
	}
}

// claims is the fold of the streams that a node follows and the appends of its
// own requests.
func claims(f Fleet, d Design, s Set) Cost {
	requests := f.bookings() / d.ClaimStreams
	own := f.bookings() / f.Nodes
	keys := f.bookings() * d.ClaimWindow
	if d.ClaimCopies > 0 {
		keys *= d.ClaimCopies / f.Nodes
	}
	return Cost{
		Role: "claims", Messages: recordsPerBooking * (requests + own), Core: requests * s["claim-fold"].PerUnit * nanosecond,
		Memory: math.Min(keys, d.ClaimKeys) * s["claim-memory"].PerUnit, Rate: (requests + own) * s["claim-bytes"].PerUnit,
	}
}

// trailEntries is the bound of the trail kept in the configuration's state.
const trailEntries = 512

func auditTrail(f Fleet, s Set) Cost {
	return Cost{
		Role: "audit", Core: f.changes() * s["audit-append"].At(trailEntries) * nanosecond,
		Memory: s["audit-bytes"].At(trailEntries),
	}
}
