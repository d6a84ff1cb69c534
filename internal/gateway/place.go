package gateway

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/mastictray/mastictray/internal/crashpieces"
	"github.com/mastictray/mastictray/internal/directory"
	"github.com/mastictray/mastictray/internal/dispatch"
	"github.com/mastictray/mastictray/internal/fairqueue"
	"github.com/mastictray/mastictray/internal/overload"
	"github.com/mastictray/mastictray/internal/prefix"
	"github.com/mastictray/mastictray/internal/routing"
)

// targetAttempt is one attempt at one target.
type targetAttempt struct {
	target directory.Registration
	// fetchSource is the address of a target to fetch pieces of the prompt from; empty for
	// none.
	fetchSource string
	// fetchSourcePieces is the number of leading pieces that the fetch source is known to
	// have.
	fetchSourcePieces int
	// savesToStore is set if the target saves the pieces that it prefills, under
	// cacheScope.
	savesToStore bool
	cacheScope   string
	// continueFrom is where the run's memory is if the run goes on here; empty for a new run.
	continueFrom string
	// choice describes the placement decision, for the log.
	choice placementInfo
	// relay is the instance that relays the connection; empty for a direct one. pathFailed is
	// set if the attempt failed because of the path to the target.
	relay      string
	pathFailed bool
	// memoryFailed is set if the attempt failed because its target ran out of memory.
	// failedForMemory, if set, reports whether a target that has lost the connection did.
	memoryFailed    bool
	failedForMemory func() bool
	// answer is the answer of the target.
	answer crashpieces.Answer
	// onSend is called before the request is written, with a function that cancels the
	// attempt and the instance that relays it. onProgress is called for each part of the response that arrives and onAnswer
	// for each one that is new to the caller, of which the first counts. onEnd is called
	// once, at the end, and onUnreachable if no connection could be made.
	onSend        func(cancel func(), relay string, policy cancelPolicy)
	onProgress    func()
	onAnswer      func()
	onEnd         func(overload.Result)
	onUnreachable func(error)
	// onPause, if set, is called when the response is not read for a while because its caller
	// takes nothing, and when reading goes on.
	onPause func(paused bool)
	// cancelledHere reports whether this instance ended the attempt for a reason that says
	// nothing about the target.
	cancelledHere func() bool
}

// placementInfo describes what was known and expected when a target was chosen.
type placementInfo struct {
	cachedPieces   int
	uncachedTokens int
	expectedTTFT   time.Duration
	// eligibleTargets is the number of targets that could be chosen.
	eligibleTargets int
	// weightsVersion is the weights version that the target must have; 0 for any.
	weightsVersion int64
}

// chooseTarget chooses a target for the next attempt and waits for it if necessary. If the
// context ends, it returns neither an attempt nor a refusal.
func (g *Gateway) chooseTarget(ctx context.Context, c *call) (*targetAttempt, *Refusal) {
	if c.service.Engine != nil {
		return g.chooseEngineTarget(ctx, c)
	}
	service := g.plainServiceOf(c)
	if refusal, ok := g.awaitPlainTarget(ctx, c, service); !ok {
		return nil, refusal
	}
	choice, ok := service.acquire(append(slices.Clip(c.refusedBy), c.lastTarget), c.toCanary, c.requiredSoftware())
	if !ok && c.lastTarget != "" {
		choice, ok = service.acquire(nil, c.toCanary, c.requiredSoftware())
	}
	if !ok && g.borrowSlot(ctx, c, service.withoutRoom(c.refusedBy, c.toCanary, c.requiredSoftware())) {
		choice, ok = service.acquire(c.refusedBy, c.toCanary, c.requiredSoftware())
	}
	if !ok {
		return nil, noTargetRefusal("no_target", g.pauseLeft(c), noTargetRetry)
	}
	return &targetAttempt{
		target: choice.target, onSend: func(func(), string, cancelPolicy) {}, onProgress: func() {}, onAnswer: func() {},
		onEnd: func(r overload.Result) {
			service.endAttempt(choice, r)
			g.returnUnusedLoans(&loanTarget{c.service.Name, choice.target})
		},
		onUnreachable: func(err error) { service.recordUnreachable(choice, err) },
		cancelledHere: func() bool { return false },
	}, nil
}

// noTargetRetry is the Retry-After hint when a service has no usable target: roughly the
// time until a target recovers or a breaker allows a probe.
const noTargetRetry = 300 * time.Millisecond

// noTargetRefusal returns the refusal of a request that no target may get now. If all targets
// have asked for a pause, the caller is told when the first one ends.
func noTargetRefusal(reason string, pauseLeft, otherwise time.Duration) *Refusal {
	if pauseLeft > 0 {
		return unavailableRefusal("targets_paused", max(pauseLeft, minPausedRetryAfter))
	}
	return unavailableRefusal(reason, otherwise)
}

// minPausedRetryAfter keeps callers that are refused at the end of a pause from returning before
// the target is available.
const minPausedRetryAfter = 100 * time.Millisecond

// pauseLeft returns the time until the first target of a call's service may get requests again
// if all of them have asked for a pause, else 0.
func (g *Gateway) pauseLeft(c *call) time.Duration {
	if c.service.Engine != nil {
		return g.engineServiceOf(c).pauseLeft()
	}
	return g.plainServiceOf(c).pauseLeft()
}

// chooseEngineTarget is chooseTarget for services of model servers.
func (g *Gateway) chooseEngineTarget(ctx context.Context, c *call) (*targetAttempt, *Refusal) {
	if refusal := g.admitToService(c); refusal != nil {
		return nil, refusal
	}
	endWait := g.contention.beginWait(c.admission)
	defer endWait()
	service, r := g.engineServiceOf(c), g.newEngineRequest(c)
	pl, refusal := service.acquire(ctx, r)
	if isNoTarget(refusal) && r.Placement.Exclude != "" {
		pl, refusal = g.acquireAnyEngine(ctx, c, service) // the target of the last attempt is better than none
	}
	if isNoTarget(refusal) && g.borrowSlot(ctx, c, service.withoutRoom(c.requiredSoftware())) {
		pl, refusal = g.acquireAnyEngine(ctx, c, service)
	}
	if isNoTarget(refusal) && c.stream.known {
		if !service.hasSoftware(c.stream.Software) {
			return nil, &Refusal{Status: http.StatusServiceUnavailable, Reason: "stream_version_gone", NotRun: true}
		}
		pl, refusal = g.awaitEngineOfStream(ctx, c, service, refusal)
	}
	switch {
	case refusal != nil:
		reason := "queue_" + string(refusal.Reason)
		switch refusal.Reason {
		case fairqueue.ReasonDeadline:
			reason = "cannot_make_deadline"
		case dispatch.ReasonNoTarget:
			return nil, noTargetRefusal(reason, g.pauseLeft(c), refusal.RetryAfter)
		}
		return nil, unavailableRefusal(reason, refusal.RetryAfter)
	case pl == nil:
		return nil, nil
	}
	return g.newEngineAttempt(c, service, pl), nil
}

func isNoTarget(r *engineRefusal) bool { return r != nil && r.Reason == dispatch.ReasonNoTarget }

// acquireAnyEngine acquires a target without leaving out that of the last attempt.
func (g *Gateway) acquireAnyEngine(ctx context.Context, c *call, service *engineService) (*enginePlacement, *engineRefusal) {
	r := g.newEngineRequest(c)
	r.Placement.Exclude = ""
	return service.acquire(ctx, r)
}

// awaitEngineOfStream waits until a target with the software of the call's stream takes requests.
// It returns the last refusal if none does in time.
func (g *Gateway) awaitEngineOfStream(ctx context.Context, c *call, service *engineService, refusal *engineRefusal) (pl *enginePlacement, _ *engineRefusal) {
	waitUntil := min(c.nextEventDeadline(), g.clock.Now()+softwareWait)
	for isNoTarget(refusal) && g.clock.Now() < waitUntil && sleep(ctx, softwarePollInterval) {
		pl, refusal = g.acquireAnyEngine(ctx, c, service)
	}
	return pl, refusal
}

const (
	// softwareWait is how long a stream waits for a target with its software to take requests
	// again, for example after loading weights. There may be only one such target.
	softwareWait         = time.Second
	softwarePollInterval = 50 * time.Millisecond
)

// newEngineAttempt returns the attempt at a model server that was chosen.
func (g *Gateway) newEngineAttempt(c *call, service *engineService, pl *enginePlacement) *targetAttempt {
	a, firstTokenAt := &targetAttempt{}, time.Duration(0)
	*a = targetAttempt{
		target: pl.target, fetchSource: pl.fetchSource, fetchSourcePieces: pl.fetchSourcePieces,
		choice: placementInfo{cachedPieces: pl.send.Decision.CachedPieces, uncachedTokens: int(pl.send.Decision.UncachedTokens), expectedTTFT: pl.send.Decision.Expected, eligibleTargets: pl.eligibleTargets, weightsVersion: expectedWeights(c, &pl.target)},
		onAnswer: func() {
			if !pl.firstTokenSeen && !pl.continued {
				firstTokenAt = g.clock.Now()
				g.contention.observeFirstToken(c.admission, &pl.send, service.firstTokenLatency())
				g.recordPrefill(c, a, pl)
			}
			service.recordFirstToken(pl)
		},
		onSend: func(cancel func(), relay string, policy cancelPolicy) {
			pl.relay = relay
			service.startAttempt(pl, cancel, policy)
		},
		onProgress: func() { service.recordProgress(pl) },
		onPause:    func(paused bool) { service.recordPause(pl, paused) },
		onEnd: func(r overload.Result) {
			g.contention.observeEnd(c.admission, r, firstTokenAt)
			service.endAttempt(pl, r)
			g.returnUnusedLoans(&loanTarget{c.service.Name, pl.target})
		},
		failedForMemory: func() bool { return service.recordLostConnection(&pl.target) },
		onUnreachable:   func(err error) { service.recordUnreachable(pl, err) },
		cancelledHere:   func() bool { return service.wasCancelledHere(pl) },
	}
	return a
}

// recordPrefill records that a target has prefilled the prompt and, if the request
// instructed it to, saves its pieces to a store.
func (g *Gateway) recordPrefill(c *call, a *targetAttempt, pl *enginePlacement) {
	if !a.savesToStore {
		g.peers.publishPrompt(pl, "", nil)
		return
	}
	pieces := sharedPieceHashes(c)
	g.cache.recordSave(a.cacheScope, pieces)
	g.peers.publishPrompt(pl, a.cacheScope, pieces)
}

// sharedPieceHashes returns the hashes of the prompt's pieces that other requests share.
func sharedPieceHashes(c *call) []prefix.Hash {
	pieces := c.Prompt.Pieces
	if len(pieces) > 1 {
		pieces = pieces[:len(pieces)-1]
	}
	hashes := make([]prefix.Hash, len(pieces))
	for i, p := range pieces {
		hashes[i] = p.Hash
	}
	return hashes
}

// pieceTokens returns the sizes of all pieces of the prompt.
func pieceTokens(c *call) []int {
	tokens := make([]int, len(c.Prompt.Pieces))
	for i, p := range c.Prompt.Pieces {
		tokens[i] = p.Tokens
	}
	return tokens
}

// newEngineRequest describes the request to the queue and to placement.
func (g *Gateway) newEngineRequest(c *call) *engineRequest {
	q := &engineRequest{Account: accountName(c), Priority: fairqueue.MaxPriority - g.urgency(c), Deadline: c.nextEventDeadline()}
	switch {
	case c.resumed():
		// The caller has a part of the answer already, and the objective for the next event
		// is shorter than the one for the first. Under contention the request never yields
		// as late: what its targets have done for it would be lost.
		q.Priority = fairqueue.MaxPriority
		if c.route.GapObjective > 0 && !g.settings.Features.Contention {
			q.Objective = c.lastEventAt + c.route.GapObjective
		}
	case c.route.LatencyObjective > 0:
		q.Objective = c.startedAt + c.route.LatencyObjective
	}
	q.Placement.Exclude, q.Placement.Canary, q.Placement.Software = c.lastTarget, c.toCanary, c.requiredSoftware()
	q.Weight = g.accountWeight(c)
	if c.Prompt == nil {
		return q
	}
	q.Placement.PromptTokens = c.Prompt.Tokens
	q.Placement.HeldTokens = c.Prompt.Tokens + c.Prompt.MaxOutputTokens
	q.Placement.Chain, q.Placement.PieceEnds = prefixChain(c)
	return q
}

// resumed reports whether the caller has a part of the answer already.
func (c *call) resumed() bool { return c.lastEventAt > 0 }

// nextEventDeadline returns when the next event of a stream is due at the latest: the first
// event or, if the stream is resumed, the one after the last event relayed. Callers abandon
// a stream without events long before their deadlines, and what starts after that is wasted
// work.
func (c *call) nextEventDeadline() time.Duration {
	if c.route.Kind != routing.Stream {
		return c.deadline
	}
	due := max(c.startedAt, c.lastEventAt) + max(minStreamWait, streamWaitObjectives*c.route.LatencyObjective, streamWaitGaps*c.route.GapObjective)
	if c.deadline > 0 {
		due = min(due, c.deadline)
	}
	return due
}

// How long callers wait for the next event of a stream, as agreed with them: the longest of
// a fixed time, a number of latency objectives and a number of gap objectives.
const (
	minStreamWait        = 2 * time.Second
	streamWaitObjectives = 4
	streamWaitGaps       = 8
)

// prefixChain returns the hashes of the prompt's shared pieces and the number of prompt
// tokens up to the end of each. A hash covers the piece, all pieces before it and the scope
// that may share it. The last of several pieces is unique to the request and not worth
// remembering.
func prefixChain(c *call) (chain []prefix.Hash, ends []int) {
	pieces := c.Prompt.Pieces
	if len(pieces) > 1 {
		pieces = pieces[:len(pieces)-1]
	}
	hash, end := prefix.Scope{Account: cacheScope(c), Model: c.Prompt.Model}.Seed(), 0
	for _, p := range pieces {
		hash = prefix.Extend(hash, p.Hash)
		end += p.Tokens
		chain, ends = append(chain, hash), append(ends, end)
	}
	return chain, ends
}

// cacheScope returns the scope that separates the pieces of an isolated account from those
// of all others.
func cacheScope(c *call) string {
	if c.account != nil && c.account.Isolated {
		return "account/" + c.account.Name
	}
	return c.table.SharedCacheScope()
}

// urgency returns the urgency of a request, from 0, the most urgent, to MaxPriority. An
// account's own setting overrides that of the route.
func (g *Gateway) urgency(c *call) int {
	if g.settings.Features.Contention {
		return contendedUrgency(c)
	}
	return clampUrgency(priorityOf(c))
}

// contendedUrgency is urgency where callers compete for room: of two requests that the setting of
// their accounts makes equal, the one with the more urgent route goes first.
func contendedUrgency(c *call) int {
	return clampUrgency(routeRanks*priorityOf(c) + min(max(c.route.Priority, 0), routeRanks-1))
}

// routeRanks is the number of route priorities that are told apart among requests of equal
// accounts.
const routeRanks = 3

func priorityOf(c *call) int {
	if c.account != nil && c.account.HasPriority {
		return c.account.Priority
	}
	return c.route.Priority
}

func clampUrgency(u int) int { return min(max(u, 0), fairqueue.MaxPriority) }
