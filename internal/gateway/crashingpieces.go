package gateway

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/mastictray/mastictray/internal/crashpieces"
	"github.com/mastictray/mastictray/internal/pieceguard"
	"github.com/mastictray/mastictray/internal/replica"
	"github.com/mastictray/mastictray/internal/wire"
)

// crashingPieces finds the pieces of prompts that crash targets, together with the peers.
type crashingPieces struct{ *pieceguard.Guard }

// takeReports returns the evidence of this instance that peers don't have yet.
func (p crashingPieces) takeReports(now time.Duration, fleetSize int, rng *rand.Rand) (out []*wire.PieceReport) {
	p.Update(func(t *crashpieces.Tracker) {
		reports := t.TakeReports(now, fleetSize, rng)
		out = reports.ToWire(now)
	})
	return out
}

// published returns the blocks for the published state.
func (p crashingPieces) published(now time.Duration) (out []wire.BlockedPiece) {
	p.Update(func(t *crashpieces.Tracker) { out = t.BlocksToWire(now) })
	return out
}

// applyPublished applies what a peer has published.
func (p crashingPieces) applyPublished(now time.Duration, c *replica.Change) {
	for _, e := range c.Events {
		if e.Pieces != nil {
			p.Update(func(t *crashpieces.Tracker) { t.ApplyReport(now, c.At, e.Pieces) })
		}
	}
	if len(c.State.BlockedPieces) > 0 {
		p.Update(func(t *crashpieces.Tracker) { t.ApplyBlocks(now, c.At, c.State.BlockedPieces) })
	}
}

// piecesOf returns the pieces that the request's prompt may share with others.
func piecesOf(c *call) []crashpieces.Piece {
	if c.Prompt == nil || len(c.Prompt.Pieces) < 2 {
		return nil
	}
	shared := c.Prompt.Pieces[:len(c.Prompt.Pieces)-1]
	pieces := make([]crashpieces.Piece, len(shared))
	for i, p := range shared {
		pieces[i] = crashpieces.Piece(p.Hash)
	}
	return pieces
}

// pieceTexts returns the pieces as callers write them.
func pieceTexts(pieces []crashpieces.Piece) []string {
	var texts []string
	for _, p := range pieces {
		texts = append(texts, strconv.FormatUint(uint64(p), 16))
	}
	return texts
}

// checkPieces refuses a prompt with a piece that crashes targets. It is called on arrival and again
// right before each attempt, since the piece may be found while the request waits.
func (g *Gateway) checkPieces(c *call) *Refusal {
	if c.probesPiece {
		return nil
	}
	v := g.pieces.Check(g.clock.Now(), c.ID, piecesOf(c), g.peers.isFirstReporting)
	c.probesPiece = v.Probe
	if !v.Blocked {
		return nil
	}
	return &Refusal{Status: http.StatusServiceUnavailable, Reason: "crashes_targets", NotRun: true, RetryAfter: crashRetryAfter}
}

// noteAnswer records an event of the answer to a prompt, or its end.
func (g *Gateway) noteAnswer(c *call, a *targetAttempt, complete bool) {
	if a.answer.Note(g.clock.Now(), complete) {
		g.pieces.Answered(&a.answer, piecesOf(c))
	}
}
