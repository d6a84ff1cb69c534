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

// leg is one attempt at one target.
type leg struct {
	target directory.Registration
	// source is the address of a target to fetch pieces from; empty for none.
	source string
	// sourceHolds is the leading pieces that it is known to hold.
	sourceHolds int
	// saves says that the target saves what it reads, under the scope.
	saves bool
	scope string
	// choice is what placement expected, for the log.
	choice choice
	// sent is called with what ends the attempt before its request is
	// written, progressed for each part of the answer, answered for the first one,
	// ended once at the end, unreachable when no connection was made.
	sent        func(cut func(), m mobility)
	progressed  func()
	answered    func()
	ended       func(overload.Result)
	unreachable func()
}

// choice is what placement knew and expected when it chose a target.
type choice struct {
	cached   int
	uncached int
	expected time.Duration
	// targets is the number that could have been chosen.
	targets int
	// weights is the version that the target had to have; 0 for any.
	weights int64
}

// place chooses a target for the next attempt and waits for it if need be. A
// nil leg without a refusal means that the context ended.
func (g *Gateway) place(ctx context.Context, c *call) (*leg, *Refusal) {
	if c.service.Engine != nil {
		return g.placeEngine(ctx, c)
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
	return &leg{
		target: ch.target, sent: func(func(), mobility) {}, progressed: func() {}, answered: func() {},
		ended:       func(r overload.Result) { pool.ended(ch, r) },
		unreachable: func() { pool.unreachable(ch) },
	}, nil
}

// noTargetRetry is the hint when a service has no usable target: about the
// time until one comes back or a breaker lets a probe through.
const noTargetRetry = 300 * time.Millisecond

func (g *Gateway) placeEngine(ctx context.Context, c *call) (*leg, *Refusal) {
	g.mu.Lock()
	pool := g.engine(c.service.Name)
	g.mu.Unlock()
	pl, refusal := pool.acquire(ctx, g.queued(c))
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
	l := &leg{}
	*l = leg{
		target: pl.target, source: pl.source, sourceHolds: pl.sourceHolds,
		choice: choice{cached: pl.send.Decision.CachedPieces, uncached: int(pl.send.Decision.UncachedTokens), expected: pl.send.Decision.Expected, targets: pl.targets, weights: weightsFor(c, &pl.target)},
		answered: func() {
			if !pl.prefilled {
				g.noteRead(c, l, pl)
			}
			pool.answered(pl)
		},
		sent:        func(cut func(), m mobility) { pool.sent(pl, cut, m) },
		progressed:  func() { pool.progressed(pl) },
		ended:       func(r overload.Result) { pool.ended(pl, r) },
		unreachable: func() { pool.unreachable(pl) },
	}
	return l, nil
}

// noteRead notes that a target has read the prompt, and whether it saves it.
func (g *Gateway) noteRead(c *call, l *leg, pl *placed) {
	if !l.saves {
		g.peers.sentPrompt(pl, "", nil)
		return
	}
	pieces := sharedPieces(c)
	g.cache.saved(l.scope, pieces)
	g.peers.sentPrompt(pl, l.scope, pieces)
}

// sharedPieces are the names of the prompt's pieces that other requests share.
func sharedPieces(c *call) []prefix.Hash {
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

// queued describes the request to the queue and to placement.
func (g *Gateway) queued(c *call) *waiting {
	q := &waiting{Account: accountName(c), Priority: fairqueue.MaxPriority - urgency(c), Deadline: c.nextEventDue()}
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
	q.Placement.Chain, q.Placement.PieceEnds = chainOf(c)
	return q
}

// resumed says that the caller has a part of the answer already.
func (c *call) resumed() bool { return c.lastEventAt > 0 }

// nextEventDue is when the next event of a stream is due at the latest: the
// first one, or after a resumption the one behind the last that went out.
// Callers leave a stream that brings nothing for long, well before their
// deadline; what starts after that runs for nobody.
func (c *call) nextEventDue() time.Duration {
	if c.route.Kind != routing.Stream {
		return c.due
	}
	due := max(c.began, c.lastEventAt) + max(minStreamPatience, streamObjectives*c.route.LatencyObjective, streamGaps*c.route.GapObjective)
	if c.due > 0 {
		due = min(due, c.due)
	}
	return due
}

// How long callers wait for the next event of a stream: the longest of a time,
// some latency objectives and some gaps. The callers' own rule, as agreed.
const (
	minStreamPatience = 2 * time.Second
	streamObjectives  = 4
	streamGaps        = 8
)

// chainOf gives the hashes of the prompt's shared pieces, each bound to those
// before it and to who may share it. The last piece is the request's own, and
// nothing is gained by remembering it.
func chainOf(c *call) (chain []prefix.Hash, ends []int) {
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
