package capacity

import (
	"fmt"
	"math"
)

// Point is one hard point answered with a number.
type Point struct {
	Question, Answer string
}

const (
	// compactEventBytes is the least that one cache event takes: a hash and
	// the target's number.
	compactEventBytes = 12
	// regionDelay is the assumed one-way delay between regions, seconds.
	regionDelay = 0.08
	domainDelay = 0.0015
	// chargedTokens is a request's charge in the example of the shares: the
	// mean prompt and some 250 generated tokens.
	chargedTokens = 8250
)

// Points are the hard points of a fleet.
func Points(f Fleet, s Set) []Point {
	built, design := AsBuilt(), ForTarget()
	perNode := f.CacheEvents / f.Nodes
	jsonBytes := s["event-bytes"].PerUnit
	bookings := recordsPerBooking * f.bookings()
	others := f.changes() + 2*f.Replacements/secondsPerDay
	depth := math.Ceil(math.Log(f.Nodes) / math.Log(design.Relays))
	fold := s["config-fold"].At(f.Targets) * nanosecond
	spread := depth*(domainDelay+fold) + regionDelay
	return []Point{
		{"every node listens to all cache events", fmt.Sprintf("%s/s of JSON a node", size(f.CacheEvents*jsonBytes))},
		{"each event goes to one node only", fmt.Sprintf("%.0f events/s a node: %s/s as JSON, %s/s at %d bytes", perNode, size(perNode*jsonBytes), size(perNode*compactEventBytes), compactEventBytes)},
		{"index of all blocks on one node", size(f.CachedBlocks * s["cache-index-memory"].PerUnit)},
		{"how long a block stays cached", fmt.Sprintf("%.0f s, if half of the events store one", f.Residence())},
		{"log appends/s, as built", fmt.Sprintf("%.1f config and joins, %.0f lease renewals, %.0f claims and results", others, f.renewals(built), bookings)},
		{"log appends/s, by design", fmt.Sprintf("%.1f config and joins, %.1f lease renewals, %.0f batches of claims", others, f.renewals(design), design.ClaimStreams*design.ClaimBatches)},
		{"keyed requests/s of the whole fleet that use up a node's bytes, if it folds them all", fmt.Sprintf("%.0f, where 1%% of the requests are %.0f", ControlBudget().Rate/s["claim-bytes"].PerUnit, f.bookings())},
		{"bytes/s of rate transfers on one node, as built", transfers(f, s)},
		{"shares of accounts by domain", fmt.Sprintf("%.0f accounts x %.0f domains = %.0f, %.1f a node", f.Accounts, f.Domains, f.Accounts*f.Domains, f.Accounts*f.Domains/f.Nodes)},
		{"tokens/s minted on one node for a mean account, at the holder of a slot", fmt.Sprintf("%.0f, where one request is charged %.0f", (f.GeneratedTokens+f.RequestsPerSecond*f.PromptBytes/4)/f.Accounts/f.Domains/built.MintSlots, float64(chargedTokens))},
		{"peer calls/s of a node in a full mesh", fmt.Sprintf("%.0f, against %.0f with a bounded fan-out", 2*(f.Nodes-1)/built.HeartbeatEvery, 2*design.HeartbeatPeers/design.HeartbeatEvery)},
		{"a change reaches all nodes by a tree", fmt.Sprintf("%.0f hops of fan-out %.0f, %.1f ms to fold each: %.2f s with one crossing between regions", depth, design.Relays, 1000*fold, spread)},
		{"folding all changes", fmt.Sprintf("%.1f ms x %.0f a day = %.2f%% of a core; more than %.1f changes/s are over the share of a core while they last", 1000*fold, f.ChangesPerDay, 100*fold*f.changes(), ControlBudget().Core/fold)},
		{"a region cut off", fmt.Sprintf("%.0f nodes before %.0f targets go on with its slots' floor, a quarter of %.0f%% of each rate; keyed bookings (%.0f/s there) are refused while its log is out of reach", f.Nodes/f.Regions, f.Targets/f.Regions, 100/f.Regions, f.bookings()/f.Regions)},
		{"replacements", fmt.Sprintf("%.0f a day, one each %.0f s; the configuration sent to each is %s; %.0f failures a day leave %.2f%% of nodes away at a time if each lasts ten minutes", f.Replacements, secondsPerDay/f.Replacements, size(s["config-state"].At(f.Targets)), f.Failures, 100*f.Failures*600/secondsPerDay/f.Nodes)},
		{"serving, first token and gap between tokens", fmt.Sprintf("%.0f requests/s and %.0f generated tokens/s a node relayed, %.0f targets a pool; a placement takes %.0f us of 0.62 s", f.requests(), f.GeneratedTokens/f.Nodes, f.Targets/f.Models, s["decision"].At(f.Targets/f.Models)/1000)},
		{"serving, processor and memory", fmt.Sprintf("%.0f requests/s over %.0f nodes at %.0f a processor second = %.2f%% of a core; %.0f open streams a node at %s = %s", f.RequestsPerSecond, f.Nodes, requestsPerCore, 100*f.requests()/requestsPerCore, f.openStreams(), size(streamBytes), size(f.openStreams()*streamBytes))},
	}
}

// transfers is what moving tokens for each request costs a node. What it sends
// is half of it.
func transfers(f Fleet, s Set) string {
	message := s["rate-exchange-bytes"].At(1) / messagesPerExchange
	cost := func(messages float64) (sent, both float64) {
		sent = f.requests() * messages * message
		return sent, 2 * sent
	}
	sent, both := cost(poissonMessages)
	sentPut, bothPut := cost(putOffMessages)
	return fmt.Sprintf("%.0f requests/s x %.1f messages x %.0f bytes = %s sent, %s with what it receives; %.1f messages of put off demand: %s and %s",
		f.requests(), poissonMessages, message, size(sent), size(both), putOffMessages, size(sentPut), size(bothPut))
}

// size writes bytes for people.
func size(b float64) string {
	for _, unit := range []string{"B", "KB", "MB", "GB"} {
		if b < 1000 {
			return fmt.Sprintf("%.3g %s", b, unit)
		}
		b /= 1000
	}
	return fmt.Sprintf("%.3g TB", b)
}
