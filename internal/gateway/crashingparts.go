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
	reports := p.tracker.TakeReports(now, fleetSize, rng)
	p.mu.Unlock()
	var out []*wire.PartReport
	for _, c := range reports.Crashes {
		r := &wire.PartReport{Target: uint64(c.Target), AgeMillis: ageMillis(now, c.At)}
		for part, n := range c.Lost {
			r.Lost = append(r.Lost, wire.PartValue{Part: uint64(part), Value: uint64(n)})
		}
		out = append(out, r)
	}
	if len(reports.Sound) > 0 {
		r := &wire.PartReport{}
		for _, s := range reports.Sound {
			r.Sound = append(r.Sound, wire.PartValue{Part: uint64(s.Part), Value: ageMillis(now, s.BegunAt)})
		}
		out = append(out, r)
	}
	return out
}

func ageMillis(now, at time.Duration) uint64 { return uint64(max(0, now-at).Milliseconds()) }

func timeOf(now time.Duration, ageMillis uint64) time.Duration {
	return now - time.Duration(ageMillis)*time.Millisecond
}

// published returns the blocks for the published state.
func (p *crashingParts) published(now time.Duration) []wire.BlockedPart {
	p.mu.Lock()
	defer p.mu.Unlock()
	blocks := p.tracker.Blocks()
	if len(blocks) == 0 {
		return nil
	}
	out := make([]wire.BlockedPart, len(blocks))
	for i, b := range blocks {
		out[i] = wire.BlockedPart{
			Part: uint64(b.Part), FirstCrashMillis: (now - b.FirstCrashAt).Milliseconds(), CrashMillis: (now - b.CrashAt).Milliseconds(),
			SeenMillis: (now - b.SeenAt).Milliseconds(), FailedProbes: b.FailedProbes, Released: b.Released,
		}
	}
	return out
}

// applyPublished applies what a peer has published.
func (p *crashingParts) applyPublished(now time.Duration, c *replica.Change) {
	for _, e := range c.Events {
		if e.Parts != nil {
			p.update(func(t *crashparts.Tracker) { applyPartReport(now, t, c.At, e.Parts) })
		}
	}
	for _, b := range c.State.BlockedParts {
		at := func(millis int64) time.Duration { return c.At - time.Duration(millis)*time.Millisecond }
		p.update(func(t *crashparts.Tracker) {
			t.ApplyBlock(now, crashparts.Block{
				Part: crashparts.Part(b.Part), FirstCrashAt: at(b.FirstCrashMillis), CrashAt: at(b.CrashMillis), SeenAt: at(b.SeenMillis),
				FailedProbes: b.FailedProbes, Released: b.Released,
			})
		})
	}
}

// applyPartReport applies a report that was made at madeAt.
func applyPartReport(now time.Duration, t *crashparts.Tracker, madeAt time.Duration, r *wire.PartReport) {
	if r.Target != 0 {
		c := &crashparts.Crash{Target: crashparts.Target(r.Target), At: timeOf(madeAt, r.AgeMillis), Lost: map[crashparts.Part]int{}}
		for _, v := range r.Lost {
			c.Lost[crashparts.Part(v.Part)] = int(v.Value)
		}
		t.ApplyCrash(now, c)
	}
	for _, v := range r.Sound {
		t.ApplySound(crashparts.Sound{Part: crashparts.Part(v.Part), BegunAt: timeOf(madeAt, v.Value)})
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
