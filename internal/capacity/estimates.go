package capacity

import (
	"fmt"
	"math"
)

// Estimate is a question about the feasibility of a design and its numerical answer.
type Estimate struct {
	Question, Answer string
}

const (
	// compactEventBytes is the minimum size of a cache event: a hash and the
	// target's number.
	compactEventBytes = 12
	// regionDelaySeconds and domainDelaySeconds are the one-way network delays
	// between regions, which is assumed, and between failure domains.
	regionDelaySeconds = 0.08
	domainDelaySeconds = 0.0015
	// chargedTokens is the example charge of a request: the mean prompt and about
	// 250 generated tokens.
	chargedTokens = 8250
)

// Estimates answers the questions that decide whether a design can serve a fleet of
// this size.
func Estimates(f Fleet, s SlopeSet) []Estimate {
	current, planned := CurrentDesign(), PlannedDesign()
	eventsPerNode := f.CacheEventsPerSecond / f.Nodes
	jsonBytes := s["event-bytes"].PerUnit
	bookings := recordsPerBooking * f.bookingsPerSecond()
	otherAppends := f.changesPerSecond() + 2*f.ReplacementsPerDay/secondsPerDay
	depth := math.Ceil(math.Log(f.Nodes) / math.Log(planned.RelayFanOut))
	foldSeconds := s["config-fold"].At(f.Targets) * secondsPerNanosecond
	propagationSeconds := depth*(domainDelaySeconds+foldSeconds) + regionDelaySeconds
	return []Estimate{
		{"every node listens to all cache events", fmt.Sprintf("%s/s of JSON a node", formatBytes(f.CacheEventsPerSecond*jsonBytes))},
		{"each event goes to one node only", fmt.Sprintf("%.0f events/s a node: %s/s as JSON, %s/s at %d bytes", eventsPerNode, formatBytes(eventsPerNode*jsonBytes), formatBytes(eventsPerNode*compactEventBytes), compactEventBytes)},
		{"index of all blocks on one node", formatBytes(f.CachedBlocks * s["cache-index-memory"].PerUnit)},
		{"how long a block stays cached", fmt.Sprintf("%.0f s, if half of the events store one", f.BlockLifetimeSeconds())},
		{"log appends/s, as built", fmt.Sprintf("%.1f config and joins, %.0f lease renewals, %.0f claims and results", otherAppends, f.renewalsPerSecond(current), bookings)},
		{"log appends/s, by design", fmt.Sprintf("%.1f config and joins, %.1f lease renewals, %.0f batches of claims", otherAppends, f.renewalsPerSecond(planned), planned.ClaimStreams*planned.ClaimBatchesPerSecond)},
		{"keyed requests/s of the whole fleet that use up a node's bytes, if it folds them all", fmt.Sprintf("%.0f, where 1%% of the requests are %.0f", ControlBudget().BytesPerSecond/s["claim-bytes"].PerUnit, f.bookingsPerSecond())},
		{"bytes/s of rate transfers on one node, as built", formatRateTransfers(f, s)},
		{"shares of accounts by domain", fmt.Sprintf("%.0f accounts x %.0f domains = %.0f, %.1f a node", f.Accounts, f.Domains, f.Accounts*f.Domains, f.Accounts*f.Domains/f.Nodes)},
		{"tokens/s minted on one node for a mean account, at the holder of a slot", fmt.Sprintf("%.0f, where one request is charged %.0f", (f.GeneratedTokensPerSecond+f.RequestsPerSecond*f.MeanPromptBytes/4)/f.Accounts/f.Domains/current.RateSlotsPerDomain, float64(chargedTokens))},
		{"peer calls/s of a node in a full mesh", fmt.Sprintf("%.0f, against %.0f with a bounded fan-out", 2*(f.Nodes-1)/current.HeartbeatIntervalSeconds, 2*planned.HeartbeatPeers/planned.HeartbeatIntervalSeconds)},
		{"a change reaches all nodes by a tree", fmt.Sprintf("%.0f hops of fan-out %.0f, %.1f ms to fold each: %.2f s with one crossing between regions", depth, planned.RelayFanOut, 1000*foldSeconds, propagationSeconds)},
		{"folding all changes", fmt.Sprintf("%.1f ms x %.0f a day = %.2f%% of a core; more than %.1f changes/s are over the share of a core while they last", 1000*foldSeconds, f.ChangesPerDay, 100*foldSeconds*f.changesPerSecond(), ControlBudget().Cores/foldSeconds)},
		{"a region cut off", fmt.Sprintf("%.0f nodes before %.0f targets go on with its slots' floor, a quarter of %.0f%% of each rate; keyed bookings (%.0f/s there) are refused while its log is out of reach", f.Nodes/f.Regions, f.Targets/f.Regions, 100/f.Regions, f.bookingsPerSecond()/f.Regions)},
		{"replacements", fmt.Sprintf("%.0f a day, one each %.0f s; the configuration sent to each is %s; %.0f failures a day leave %.2f%% of nodes away at a time if each lasts ten minutes", f.ReplacementsPerDay, secondsPerDay/f.ReplacementsPerDay, formatBytes(s["config-state"].At(f.Targets)), f.FailuresPerDay, 100*f.FailuresPerDay*600/secondsPerDay/f.Nodes)},
		{"serving, first token and gap between tokens", fmt.Sprintf("%.0f requests/s and %.0f generated tokens/s a node relayed, %.0f targets a pool; a placement takes %.0f us of 0.62 s", f.nodeRequestsPerSecond(), f.GeneratedTokensPerSecond/f.Nodes, f.Targets/f.Models, s["decision"].At(f.Targets/f.Models)/1000)},
		{"serving, processor and memory", fmt.Sprintf("%.0f requests/s over %.0f nodes at %.0f a processor second = %.2f%% of a core; %.0f open streams a node at %s = %s", f.RequestsPerSecond, f.Nodes, requestsPerCore, 100*f.nodeRequestsPerSecond()/requestsPerCore, f.openStreamsPerNode(), formatBytes(streamBytes), formatBytes(f.openStreamsPerNode()*streamBytes))},
	}
}

// formatRateTransfers describes the bytes per second that a node exchanges to move
// rate tokens for its requests. Half of them are sent.
func formatRateTransfers(f Fleet, s SlopeSet) string {
	messageBytes := s["rate-exchange-bytes"].At(1) / messagesPerExchange
	cost := func(messages float64) (sent, both float64) {
		sent = f.nodeRequestsPerSecond() * messages * messageBytes
		return sent, 2 * sent
	}
	sent, both := cost(poissonMessagesPerRequest)
	sentDeferred, bothDeferred := cost(deferredMessagesPerRequest)
	return fmt.Sprintf("%.0f requests/s x %.1f messages x %.0f bytes = %s sent, %s with what it receives; %.1f messages of put off demand: %s and %s",
		f.nodeRequestsPerSecond(), poissonMessagesPerRequest, messageBytes, formatBytes(sent), formatBytes(both), deferredMessagesPerRequest, formatBytes(sentDeferred), formatBytes(bothDeferred))
}

// formatBytes formats a number of bytes with a decimal unit.
func formatBytes(b float64) string {
	for _, unit := range []string{"B", "KB", "MB", "GB"} {
		if b < 1000 {
			return fmt.Sprintf("%.3g %s", b, unit)
		}
		b /= 1000
	}
	return fmt.Sprintf("%.3g TB", b)
}
