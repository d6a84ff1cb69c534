package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/mastictray/mastictray/internal/crashpieces"
	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/openai"
	"github.com/mastictray/mastictray/internal/peer"
	"github.com/mastictray/mastictray/internal/pieceguard"
	"github.com/mastictray/mastictray/internal/wire"
)

const (
	// pieceEvidenceInterval is the time between two messages with evidence, pieceBlocksInterval
	// that between two messages without news, which repeat the blocks.
	pieceEvidenceInterval = 100 * time.Millisecond
	pieceBlocksInterval   = time.Second
	pieceEvidenceTimeout  = 200 * time.Millisecond
	// blockedPieceRetryAfter is the Retry-After of a prompt with a piece that crashes engines.
	blockedPieceRetryAfter = 10 * time.Second
)

// crashingPieces finds the pieces of prompts that crash engines, together with the peers.
type crashingPieces struct {
	*pieceguard.Guard
	clock clock
	node  *peer.Node
	peers func() []wire.Identity
}

func newCrashingPieces(c clock, node *peer.Node, peers func() []wire.Identity) *crashingPieces {
	p := &crashingPieces{Guard: pieceguard.New(), clock: c, node: node, peers: peers}
	node.Handle(wire.KindPieceEvidence, p.receive)
	return p
}

// run tells the peers of the evidence of this instance until ctx ends.
func (p *crashingPieces) run(ctx context.Context) {
	sentAt := time.Duration(0)
	for ctx.Err() == nil {
		sleep(ctx, pieceEvidenceInterval)
		peers, now := p.peers(), p.clock.now()
		if message := p.message(now, len(peers)+1); len(message.Reports) > 0 || len(message.Blocks) > 0 && now-sentAt >= pieceBlocksInterval {
			sentAt = now
			p.send(ctx, peers, message)
		}
	}
}

func (p *crashingPieces) message(now time.Duration, fleetSize int) (m wire.PieceEvidence) {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	p.Update(func(t *crashpieces.Tracker) {
		reports := t.TakeReports(now, fleetSize, rng)
		m.Reports, m.Blocks = reports.ToWire(now), t.BlocksToWire(now)
	})
	return m
}

func (p *crashingPieces) send(ctx context.Context, peers []wire.Identity, message wire.PieceEvidence) {
	for _, to := range peers {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, pieceEvidenceTimeout)
			defer cancel()
			if err := p.node.Send(ctx, to.Address, wire.KindPieceEvidence, message); err != nil {
				logline.Error(err, "piece_evidence_lost", "peer", to.Address)
			}
		}()
	}
}

// receive applies the evidence of a peer. Its delay on the way is neglected.
func (p *crashingPieces) receive(_ context.Context, _ wire.Identity, f wire.Frame) (any, error) {
	var m wire.PieceEvidence
	if err := f.DecodeBody(&m); err != nil {
		return nil, err
	}
	now := p.clock.now()
	p.Update(func(t *crashpieces.Tracker) {
		for _, r := range m.Reports {
			t.ApplyReport(now, now, r)
		}
		t.ApplyBlocks(now, now, m.Blocks)
	})
	return nil, nil
}

// mayProbe reports whether this instance probes blocked pieces: the first one in the order of their
// names.
func (p *crashingPieces) mayProbe() bool {
	return !slices.ContainsFunc(p.peers(), func(id wire.Identity) bool { return id.Instance < p.node.Self().Instance })
}

// pieces returns the pieces that the prompt may share with others. The chain holds whole pieces only
// and not the end of the prompt.
func (e *engineCall) pieces() []crashpieces.Piece {
	pieces := make([]crashpieces.Piece, len(e.placement.Chain))
	for i, h := range e.placement.Chain {
		pieces[i] = crashpieces.Piece(h)
	}
	return pieces
}

// checkPieces refuses a prompt with a piece that crashes engines.
func (r *engineRun) checkPieces() error {
	if r.probesPiece {
		return nil
	}
	v := r.server.pieces.Check(r.server.clock.now(), r.call.id, r.call.pieces(), r.server.pieces.mayProbe)
	r.probesPiece = v.Probe
	if !v.Blocked {
		return nil
	}
	return &openai.Error{
		Status: http.StatusServiceUnavailable, Code: openai.CodeQuarantined, Outcome: r.outcome(),
		Message: "prompts that share a piece with this one have crashed the targets that ran them", RetryAfter: blockedPieceRetryAfter,
	}
}

// noteAnswer records an event of the answer, or its end.
func (r *engineRun) noteAnswer(complete bool) {
	if r.answer.Note(r.server.clock.now(), complete) {
		r.server.pieces.Answered(&r.answer, r.call.pieces())
	}
}
