package gateway

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/mastictray/mastictray/internal/crashparts"
	"github.com/mastictray/mastictray/internal/partguard"
	"github.com/mastictray/mastictray/internal/replica"
	"github.com/mastictray/mastictray/internal/wire"
)

// crashingParts finds the parts of prompts that crash targets, together with the peers.
type crashingParts struct{ *partguard.Guard }

// takeReports returns the evidence of this instance that peers don't have yet.
func (p crashingParts) takeReports(now time.Duration, fleetSize int, rng *rand.Rand) (out []*wire.PartReport) {
	p.Update(func(t *crashparts.Tracker) {
		reports := t.TakeReports(now, fleetSize, rng)
		out = reports.ToWire(now)
	})
	return out
}

// published returns the blocks for the published state.
func (p crashingParts) published(now time.Duration) (out []wire.BlockedPart) {
	p.Update(func(t *crashparts.Tracker) { out = t.BlocksToWire(now) })
	return out
}

// applyPublished applies what a peer has published.
func (p crashingParts) applyPublished(now time.Duration, c *replica.Change) {
	for _, e := range c.Events {
		if e.Parts != nil {
			p.Update(func(t *crashparts.Tracker) { t.ApplyReport(now, c.At, e.Parts) })
		}
	}
	if len(c.State.BlockedParts) > 0 {
		p.Update(func(t *crashparts.Tracker) { t.ApplyBlocks(now, c.At, c.State.BlockedParts) })
	}
}

// partsOf returns the parts that the request's prompt may share with others.
func partsOf(c *call) []crashparts.Part {
	if c.Prompt == nil || len(c.Prompt.Pieces) < 2 {
		return nil
	}
	pieces := c.Prompt.Pieces[:len(c.Prompt.Pieces)-1]
	parts := make([]crashparts.Part, len(pieces))
	for i, p := range pieces {
		parts[i] = crashparts.Part(p.Hash)
	}
	return parts
}

// partTexts returns the parts as callers write them.
func partTexts(parts []crashparts.Part) []string {
	var texts []string
	for _, p := range parts {
		texts = append(texts, strconv.FormatUint(uint64(p), 16))
	}
	return texts
}

// checkParts refuses a prompt with a part that crashes targets. It is called on arrival and again
// right before each attempt, since the part may be found while the request waits.
func (g *Gateway) checkParts(c *call) *Refusal {
	if c.probesPart {
		return nil
	}
	v := g.parts.Check(g.clock.Now(), c.ID, partsOf(c), func() bool { return g.peers.rank() == 0 })
	c.probesPart = v.Probe
	if !v.Blocked {
		return nil
	}
	return &Refusal{Status: http.StatusServiceUnavailable, Reason: "crashes_targets", NotRun: true, RetryAfter: crashRetryAfter}
}

// noteAnswer records an event of the answer to a prompt, or its end.
func (g *Gateway) noteAnswer(c *call, a *targetAttempt, complete bool) {
	if a.answer.Note(g.clock.Now(), complete) {
		g.parts.Answered(&a.answer, partsOf(c))
	}
}
