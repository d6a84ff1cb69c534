package crashpieces

import (
	"time"

	"github.com/mastictray/mastictray/internal/wire"
)

// ToWire returns the messages for reports made at now.
func (r *Reports) ToWire(now time.Duration) []*wire.PieceReport {
	var out []*wire.PieceReport
	for _, c := range r.Crashes {
		m := &wire.PieceReport{Target: uint64(c.Target), AgeMillis: millis(now, c.At)}
		for piece, n := range c.Lost {
			m.Lost = append(m.Lost, wire.PieceValue{Piece: uint64(piece), Value: uint64(n)})
		}
		out = append(out, m)
	}
	if len(r.Healthy) == 0 {
		return out
	}
	m := &wire.PieceReport{}
	for _, s := range r.Healthy {
		m.Healthy = append(m.Healthy, wire.PieceValue{Piece: uint64(s.Piece), Value: millis(now, s.BegunAt)})
	}
	return append(out, m)
}

// BlocksToWire returns the blocks as state that is published at now.
func (t *Tracker) BlocksToWire(now time.Duration) []wire.BlockedPiece {
	var out []wire.BlockedPiece
	for _, b := range t.Blocks() {
		out = append(out, wire.BlockedPiece{
			Piece: uint64(b.Piece), FirstCrashMillis: int64(millis(now, b.FirstCrashAt)), CrashMillis: int64(millis(now, b.CrashAt)),
			SeenMillis: int64(millis(now, b.SeenAt)), FailedProbes: b.FailedProbes, Released: b.Released,
		})
	}
	return out
}

// ApplyReport merges a message that a peer made at madeAt.
func (t *Tracker) ApplyReport(now, madeAt time.Duration, m *wire.PieceReport) {
	if m.Target != 0 {
		c := &Crash{Target: Target(m.Target), At: before(madeAt, m.AgeMillis), Lost: map[Piece]int{}}
		for _, v := range m.Lost {
			c.Lost[Piece(v.Piece)] = int(v.Value)
		}
		t.ApplyCrash(now, c)
	}
	for _, v := range m.Healthy {
		t.ApplyHealthy(HealthyAnswer{Piece: Piece(v.Piece), BegunAt: before(madeAt, v.Value)})
	}
}

// ApplyBlocks adopts the blocks that a peer published at madeAt.
func (t *Tracker) ApplyBlocks(now, madeAt time.Duration, blocks []wire.BlockedPiece) {
	for _, b := range blocks {
		t.ApplyBlock(now, Block{
			Piece: Piece(b.Piece), FirstCrashAt: before(madeAt, uint64(b.FirstCrashMillis)), CrashAt: before(madeAt, uint64(b.CrashMillis)),
			SeenAt: before(madeAt, uint64(b.SeenMillis)), FailedProbes: b.FailedProbes, Released: b.Released,
		})
	}
}

func millis(now, at time.Duration) uint64 { return uint64(max(0, now-at).Milliseconds()) }

func before(now time.Duration, millis uint64) time.Duration {
	return now - time.Duration(millis)*time.Millisecond
}
