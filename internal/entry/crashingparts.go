package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/mastictray/mastictray/internal/crashparts"
	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/openai"
	"github.com/mastictray/mastictray/internal/partguard"
	"github.com/mastictray/mastictray/internal/peer"
	"github.com/mastictray/mastictray/internal/wire"
)

const (
	// partEvidenceInterval is the time between two messages with evidence, partBlocksInterval
	// that between two messages without news, which repeat the blocks.
	partEvidenceInterval = 100 * time.Millisecond
	partBlocksInterval   = time.Second
	partEvidenceTimeout  = 200 * time.Millisecond
	// blockedPartRetryAfter is the Retry-After of a prompt with a piece that crashes engines.
	blockedPartRetryAfter = 10 * time.Second
)

// crashingParts finds the pieces of prompts that crash engines, together with the peers.
type crashingParts struct {
	*partguard.Guard
	clock clock
	node  *peer.Node
	peers func() []wire.Identity
}

func newCrashingParts(c clock, node *peer.Node, peers func() []wire.Identity) *crashingParts {
	p := &crashingParts{Guard: partguard.New(), clock: c, node: node, peers: peers}
	node.Handle(wire.KindPartEvidence, p.receive)
	return p
}

// run tells the peers of the evidence of this instance until ctx ends.
func (p *crashingParts) run(ctx context.Context) {
	sentAt := time.Duration(0)
	for ctx.Err() == nil {
		sleep(ctx, partEvidenceInterval)
		peers, now := p.peers(), p.clock.now()
		if message := p.message(now, len(peers)+1); len(message.Reports) > 0 || len(message.Blocks) > 0 && now-sentAt >= partBlocksInterval {
			sentAt = now
			p.send(ctx, peers, message)
		}
	}
}

func (p *crashingParts) message(now time.Duration, fleetSize int) (m wire.PartEvidence) {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	p.Update(func(t *crashparts.Tracker) {
		reports := t.TakeReports(now, fleetSize, rng)
		m.Reports, m.Blocks = reports.ToWire(now), t.BlocksToWire(now)
	})
	return m
}

func (p *crashingParts) send(ctx context.Context, peers []wire.Identity, message wire.PartEvidence) {
	for _, to := range peers {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, partEvidenceTimeout)
			defer cancel()
			if err := p.node.Send(ctx, to.Address, wire.KindPartEvidence, message); err != nil {
				logline.Error(err, "part_evidence_lost", "peer", to.Address)
			}
		}()
	}
}

// receive applies the evidence of a peer. Its delay on the way is neglected.
func (p *crashingParts) receive(_ context.Context, _ wire.Identity, f wire.Frame) (any, error) {
	var m wire.PartEvidence
	if err := f.DecodeBody(&m); err != nil {
		return nil, err
	}
	now := p.clock.now()
	p.Update(func(t *crashparts.Tracker) {
		for _, r := range m.Reports {
			t.ApplyReport(now, now, r)
		}
		t.ApplyBlocks(now, now, m.Blocks)
	})
	return nil, nil
}

// mayProbe reports whether this instance probes blocked parts: the first one in the order of their
// names.
func (p *crashingParts) mayProbe() bool {
	return !slices.ContainsFunc(p.peers(), func(id wire.Identity) bool { return id.Instance < p.node.Self().Instance })
}

// parts returns the pieces that the prompt may share with others. The chain holds whole pieces only
// and not the end of the prompt.
func (e *engineCall) parts() []crashparts.Part {
	parts := make([]crashparts.Part, len(e.placement.Chain))
	for i, h := range e.placement.Chain {
		parts[i] = crashparts.Part(h)
	}
	return parts
}

// checkParts refuses a prompt with a piece that crashes engines.
func (r *engineRun) checkParts() error {
	if r.probesPart {
		return nil
	}
	v := r.server.parts.Check(r.server.clock.now(), r.call.id, r.call.parts(), r.server.parts.mayProbe)
	r.probesPart = v.Probe
	if !v.Blocked {
		return nil
	}
	return &openai.Error{
		Status: http.StatusServiceUnavailable, Code: openai.CodeQuarantined, Outcome: r.outcome(),
		Message: "prompts that share a piece with this one have crashed the targets that ran them", RetryAfter: blockedPartRetryAfter,
	}
}

// noteAnswer records an event of the answer, or its end.
func (r *engineRun) noteAnswer(complete bool) {
	if r.answer.Note(r.server.clock.now(), complete) {
		r.server.parts.Answered(&r.answer, r.call.parts())
	}
}
