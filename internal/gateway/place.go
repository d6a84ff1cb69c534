package gateway

import (
	"context"
	"time"

	"github.com/mastictray/mastictray/internal/directory"
	"github.com/mastictray/mastictray/internal/fairqueue"
	"github.com/mastictray/mastictray/internal/overload"
	"github.com/mastictray/mastictray/internal/prefix"
	"github.com/mastictray/mastictray/internal/routing"
)

// targetAttempt is one attempt at one target.
type targetAttempt struct {
	target directory.Registration
	// fetchSource is the address of a target to fetch pieces from; empty for none.
	fetchSource string
	// fetchSourcePieces is the leading pieces that it is known to hold.
	fetchSourcePieces int
	// savesToStore says that the target savesToStore what it reads, under the scope.
	savesToStore bool
	cacheScope   string
	// choice is what placement expected, for the log.
	choice placementInfo
	// onSend is called with what ends the attempt before its request is
	// written, progressed for each part of the answer, answered for the first one,
	// ended once at the end, unreachable when no connection was made.
	onSend        func(cut func(), m cancelPolicy)
	onProgress    func()
	onAnswer      func()
	onEnd         func(overload.Result)
	onUnreachable func()
}

// placementInfo is what placement knew and expected when it chose a target.
type placementInfo struct {
	cachedPieces   int
	uncachedTokens int
	expectedTTFT   time.Duration
	// eligibleTargets is the number that could have been chosen.
	eligibleTargets int
	// weightsVersion is the version that the target had to have; 0 for any.
	weightsVersion int64
}

// chooseTarget chooses a target for the next attempt and waits for it if need be. A
// nil leg without a refusal means that the context ended.
func (g *Gateway) chooseTarget(ctx context.Context, c *call) (*targetAttempt, *Refusal) {
	if c.service.Engine != nil {
		return g.chooseEngineTarget(ctx, c)
	}
	g.mu.Lock()
	pool := g.service(c.service.Name)
	g.mu.Unlock()
	ch, ok := pool.acquire(c.tried)
	if !ok && c.tried != "" {
		ch, ok = pool.acquire("")
	}
	if !ok {
		return nil, unavailable("no_target", noTargetRetry)
	}
	return &targetAttempt{
		target: ch.target, onSend: func(func(), cancelPolicy) {}, onProgress: func() {}, onAnswer: func() {},
		onEnd:         func(r overload.Result) { pool.endAttempt(ch, r) },
		onUnreachable: func() { pool.recordUnreachable(ch) },
	}, nil
}

// noTargetRetry is the hint when a service has no usable target: about the
// time until one comes back or a breaker lets a probe through.
const noTargetRetry = 300 * time.Millisecond

func (g *Gateway) chooseEngineTarget(ctx context.Context, c *call) (*targetAttempt, *Refusal) {
	g.mu.Lock()
	pool := g.engine(c.service.Name)
	g.mu.Unlock()
	pl, refusal := pool.acquire(ctx, g.newEngineRequest(c))
	switch {
	case refusal != nil:
		reason := "queue_" + string(refusal.Reason)
		if refusal.Reason == fairqueue.ReasonDeadline {
			reason = "cannot_make_deadline"
		}
		return nil, unavailable(reason, refusal.RetryAfter)
	case pl == nil:
		return nil, nil
	}
	l := &targetAttempt{}
	*l = targetAttempt{
		target: pl.target, fetchSource: pl.fetchSource, fetchSourcePieces: pl.fetchSourcePieces,
		choice: placementInfo{cachedPieces: pl.send.Decision.CachedPieces, uncachedTokens: int(pl.send.Decision.UncachedTokens), expectedTTFT: pl.send.Decision.Expected, eligibleTargets: pl.eligibleTargets, weightsVersion: expectedWeights(c, &pl.target)},
		onAnswer: func() {
			if !pl.firstTokenSeen {
				g.recordPromptRead(c, l, pl)
			}
			pool.recordFirstToken(pl)
		},
		onSend:        func(cut func(), m cancelPolicy) { pool.startAttempt(pl, cut, m) },
		onProgress:    func() { pool.recordProgress(pl) },
		onEnd:         func(r overload.Result) { pool.endAttempt(pl, r) },
		onUnreachable: func() { pool.recordUnreachable(pl) },
	}
	return l, nil
}

// recordPromptRead notes that a target has read the prompt, and whether it saves it.
func (g *Gateway) recordPromptRead(c *call, l *targetAttempt, pl *enginePlacement) {
	if !l.savesToStore {
		g.peers.sentPrompt(pl, "", nil)
		return
	}
	pieces := sharedPieceHashes(c)
	g.cache.recordSave(l.cacheScope, pieces)
	g.peers.sentPrompt(pl, l.cacheScope, pieces)
}

// sharedPieceHashes are the names of the prompt's pieces that other requests share.
func sharedPieceHashes(c *call) []prefix.Hash {
	pieces := c.Prompt.Pieces
	if len(pieces) > 1 {
		pieces = pieces[:len(pieces)-1]
	}
	names := make([]prefix.Hash, len(pieces))
	for i, p := range pieces {
		names[i] = p.Hash
	}
	return names
}

// pieceTokens are the sizes of all pieces of the prompt.
func pieceTokens(c *call) []int {
	tokens := make([]int, len(c.Prompt.Pieces))
	for i, p := range c.Prompt.Pieces {
		tokens[i] = p.Tokens
	}
	return tokens
}

// newEngineRequest describes the request to the queue and to placement.
func (g *Gateway) newEngineRequest(c *call) *engineRequest {
	q := &engineRequest{Account: accountName(c), Priority: fairqueue.MaxPriority - urgency(c), Deadline: c.nextEventDeadline()}
	switch {
	case c.resumed():
		// Its caller has a part of the answer and waits within a shorter bound.
		q.Priority = fairqueue.MaxPriority
		if c.route.GapObjective > 0 {
			q.Objective = c.lastEventAt + c.route.GapObjective
		}
	case c.route.LatencyObjective > 0:
		q.Objective = c.began + c.route.LatencyObjective
	}
	q.Placement.Exclude = c.tried
	if c.account != nil && c.account.Rate > 0 {
		q.Weight = c.account.Rate
	}
	if c.Prompt == nil {
		return q
	}
	q.Placement.PromptTokens = c.Prompt.Tokens
	q.Placement.HeldTokens = c.Prompt.Tokens + c.Prompt.MaxOutputTokens
	q.Placement.Chain, q.Placement.PieceEnds = prefixChain(c)
	return q
}

// resumed says that the caller has a part of the answer already.
func (c *call) resumed() bool { return c.lastEventAt > 0 }

// nextEventDeadline is when the next event of a stream is due at the latest: the
// first one, or after a resumption the one behind the last that went out.
// Callers leave a stream that brings nothing for long, well before their
// deadline; what starts after that runs for nobody.
func (c *call) nextEventDeadline() time.Duration {
	if c.route.Kind != routing.Stream {
		return c.due
	}
	due := max(c.began, c.lastEventAt) + max(minStreamWait, streamWaitObjectives*c.route.LatencyObjective, streamWaitGaps*c.route.GapObjective)
	if c.due > 0 {
		due = min(due, c.due)
	}
	return due
}

// How long callers wait for the next event of a stream: the longest of a time,
// some latency objectives and some gaps. The callers' own rule, as agreed.
const (
	minStreamWait        = 2 * time.Second
	streamWaitObjectives = 4
	streamWaitGaps       = 8
)

// prefixChain gives the hashes of the prompt's shared pieces, each bound to those
// before it and to who may share it. The last piece is the request's own, and
// nothing is gained by remembering it.
func prefixChain(c *call) (chain []prefix.Hash, ends []int) {
	pieces := c.Prompt.Pieces
	if len(pieces) > 1 {
		pieces = pieces[:len(pieces)-1]
	}
	at, end := prefix.Scope{Account: cacheScope(c), Model: c.Prompt.Model}.Seed(), 0
	for _, p := range pieces {
		at = prefix.Extend(at, p.Hash)
		end += p.Tokens
		chain, ends = append(chain, at), append(ends, end)
	}
	return chain, ends
}

// cacheScope separates the pieces of an isolated account from all others'.
func cacheScope(c *call) string {
	if c.account != nil && c.account.Isolated {
		return "account/" + c.account.Name
	}
	return ""
}

func urgency(c *call) int {
	p := c.route.Priority
	if c.account != nil && c.account.HasPriority {
		p = c.account.Priority
	}
	return min(max(p, 0), fairqueue.MaxPriority)
}
