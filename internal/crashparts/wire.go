package crashparts

import (
	"time"

	"github.com/mastictray/mastictray/internal/wire"
)

// ToWire returns the messages for reports made at now.
func (r *Reports) ToWire(now time.Duration) []*wire.PartReport {
	var out []*wire.PartReport
	for _, c := range r.Crashes {
		m := &wire.PartReport{Target: uint64(c.Target), AgeMillis: millis(now, c.At)}
		for part, n := range c.Lost {
			m.Lost = append(m.Lost, wire.PartValue{Part: uint64(part), Value: uint64(n)})
		}
		out = append(out, m)
	}
	if len(r.Sound) == 0 {
		return out
	}
	m := &wire.PartReport{}
	for _, s := range r.Sound {
		m.Sound = append(m.Sound, wire.PartValue{Part: uint64(s.Part), Value: millis(now, s.BegunAt)})
	}
	return append(out, m)
}

// BlocksToWire returns the blocks as state that is published at now.
func (t *Tracker) BlocksToWire(now time.Duration) []wire.BlockedPart {
	var out []wire.BlockedPart
	for _, b := range t.Blocks() {
		out = append(out, wire.BlockedPart{
			Part: uint64(b.Part), FirstCrashMillis: int64(millis(now, b.FirstCrashAt)), CrashMillis: int64(millis(now, b.CrashAt)),
			SeenMillis: int64(millis(now, b.SeenAt)), FailedProbes: b.FailedProbes, Released: b.Released,
		})
	}
	return out
}

// ApplyReport merges a message that a peer made at madeAt.
func (t *Tracker) ApplyReport(now, madeAt time.Duration, m *wire.PartReport) {
	if m.Target != 0 {
		c := &Crash{Target: Target(m.Target), At: before(madeAt, m.AgeMillis), Lost: map[Part]int{}}
		for _, v := range m.Lost {
			c.Lost[Part(v.Part)] = int(v.Value)
		}
		t.ApplyCrash(now, c)
	}
	for _, v := range m.Sound {
		t.ApplySound(Sound{Part: Part(v.Part), BegunAt: before(madeAt, v.Value)})
	}
}

// ApplyBlocks adopts the blocks that a peer published at madeAt.
func (t *Tracker) ApplyBlocks(now, madeAt time.Duration, blocks []wire.BlockedPart) {
	for _, b := range blocks {
		t.ApplyBlock(now, Block{
			Part: Part(b.Part), FirstCrashAt: before(madeAt, uint64(b.FirstCrashMillis)), CrashAt: before(madeAt, uint64(b.CrashMillis)),
			SeenAt: before(madeAt, uint64(b.SeenMillis)), FailedProbes: b.FailedProbes, Released: b.Released,
		})
	}
}

func millis(now, at time.Duration) uint64 { return uint64(max(0, now-at).Milliseconds()) }

func before(now time.Duration, millis uint64) time.Duration {
	return now - time.Duration(millis)*time.Millisecond
}
