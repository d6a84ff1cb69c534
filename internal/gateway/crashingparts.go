package gateway

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mastictray/mastictray/internal/crashparts"
	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/replica"
	"github.com/mastictray/mastictray/internal/wire"
)

// crashingParts applies crashparts to the prompts of this instance.
type crashingParts struct {
	mu      sync.Mutex
	tracker *crashparts.Tracker
}

func newCrashingParts() *crashingParts { return &crashingParts{tracker: crashparts.New()} }

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

func partText(p crashparts.Part) string { return strconv.FormatUint(uint64(p), 16) }

// lost records that a request has lost its target before its answer had gone on for long.
func (p *crashingParts) lost(now time.Duration, target string, parts []crashparts.Part) {
	if len(parts) == 0 {
		return
	}
	p.update(func(t *crashparts.Tracker) { t.Lost(now, crashparts.Target(xxhash.Sum64String(target)), parts) })
}

// answered records that the answer to a prompt with these parts was complete, or went on.
func (p *crashingParts) answered(parts []crashparts.Part, begunAt time.Duration) {
	if len(parts) == 0 {
		return
	}
	p.update(func(t *crashparts.Tracker) { t.Answered(parts, begunAt) })
}

// check decides whether a prompt with these parts may be sent to a target.
func (p *crashingParts) check(now time.Duration, parts []crashparts.Part, mayProbe func() bool) (v crashparts.Verdict) {
	if len(parts) == 0 {
		return v
	}
	p.update(func(t *crashparts.Tracker) { v = t.Check(now, parts, mayProbe) })
	return v
}

// update applies a change and logs the blocks that begin or end with it.
func (p *crashingParts) update(change func(*crashparts.Tracker)) {
	p.mu.Lock()
	change(p.tracker)
	changes := p.tracker.TakeChanges()
	p.mu.Unlock()
	for _, c := range changes {
		event := "part_released"
		if c.Blocked {
			event = "part_blocked"
		}
		logline.Info(event, "part", partText(c.Part), "crashes", c.Crashes, "lost", c.Lost)
	}
}

// takeReports returns the evidence of this instance that peers don't have yet.
func (p *crashingParts) takeReports(now time.Duration, fleetSize int, rng *rand.Rand) []*wire.PartReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	reports := p.tracker.TakeReports(now, fleetSize, rng)
	return reports.ToWire(now)
}

// published returns the blocks for the published state.
func (p *crashingParts) published(now time.Duration) []wire.BlockedPart {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tracker.BlocksToWire(now)
}

// applyPublished applies what a peer has published.
func (p *crashingParts) applyPublished(now time.Duration, c *replica.Change) {
	for _, e := range c.Events {
		if e.Parts != nil {
			p.update(func(t *crashparts.Tracker) { t.ApplyReport(now, c.At, e.Parts) })
		}
	}
	if len(c.State.BlockedParts) > 0 {
		p.update(func(t *crashparts.Tracker) { t.ApplyBlocks(now, c.At, c.State.BlockedParts) })
	}
}

// checkParts refuses a prompt with a part that crashes targets. It is called on arrival and again
// right before each attempt, since the part may be found while the request waits.
func (g *Gateway) checkParts(c *call) *Refusal {
	if c.probesPart {
		return nil
	}
	v := g.parts.check(g.clock.Now(), partsOf(c), func() bool { return g.peers.rank() == 0 })
	if v.Probe {
		c.probesPart = true
		logline.Info("part_probed", "request", c.ID, "part", partText(v.Part))
	}
	if !v.Blocked {
		return nil
	}
	logline.InfoSampled("part_refused", "request", c.ID, "part", partText(v.Part))
	return &Refusal{Status: http.StatusServiceUnavailable, Reason: "crashes_targets", NotRun: true, RetryAfter: crashRetryAfter}
}

// noteAnswer records an event of the answer to a prompt, or its end.
func (g *Gateway) noteAnswer(c *call, a *targetAttempt, complete bool) {
	now := g.clock.Now()
	if a.answerBegunAt == 0 {
		a.answerBegunAt = now
	}
	if a.answerSound || !complete && now-a.answerBegunAt < crashparts.SoundAfter {
		return
	}
	a.answerSound = true
	g.parts.answered(partsOf(c), a.answerBegunAt)
}
