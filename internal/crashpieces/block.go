package crashpieces

import (
	"cmp"
	"slices"
	"time"
)

const (
	// firstProbeAfter is how long a piece is blocked until one request shows whether it is to
	// blame. Pieces that always come together can't be told apart by crashes.
	firstProbeAfter = 2 * time.Second
	// BlockTime is how long it is blocked after the crash of that request, until the next one.
	// It doubles with each further crash, up to maxBlockTime.
	BlockTime    = time.Minute
	maxBlockTime = 16 * time.Minute
	// blockRetention is how long a block is kept after the last request with its piece.
	blockRetention = 10 * time.Minute
	// probeTimeout is how long the outcome of the one request is awaited.
	probeTimeout = 5 * time.Second
	// maxBlocks bounds the pieces that are blocked; the one that was seen least recently goes.
	maxBlocks = 64
)

// Change is the beginning or the end of a block.
type Change struct {
	Piece   Piece
	Blocked bool
	// Crashes and Lost are the evidence of this instance; 0 if a peer has blocked the piece.
	Crashes, Lost int
}

// Block is a blocked piece, as told to peers.
type Block struct {
	Piece Piece
	// FirstCrashAt and CrashAt are the times of the first and the last crash that count against
	// it, SeenAt that of the last request with it.
	FirstCrashAt, CrashAt, SeenAt time.Duration
	// FailedProbes is the number of requests that were sent to probe the piece and crashed.
	FailedProbes int
	// Released is set if the piece was found not to be to blame.
	Released bool
}

type block struct {
	Block
	probedAt time.Duration // start of the request that is probing; 0 for none
}

// probeFrom returns the time from which one request may probe the piece.
func (b *block) probeFrom() time.Duration {
	if b.FailedProbes == 0 {
		return b.CrashAt + firstProbeAfter
	}
	return b.CrashAt + min(BlockTime<<(b.FailedProbes-1), maxBlockTime)
}

// block blocks a piece.
func (t *Tracker) block(now time.Duration, s *suspicion) {
	t.addBlock(now, Block{Piece: s.piece, FirstCrashAt: s.firstAt, CrashAt: s.lastAt, SeenAt: now})
	t.changes = append(t.changes, Change{Piece: s.piece, Blocked: true, Crashes: s.crashes, Lost: s.lost})
}

func (t *Tracker) addBlock(now time.Duration, b Block) {
	for p, known := range t.blocks {
		if now-known.SeenAt > blockRetention {
			delete(t.blocks, p)
		}
	}
	if len(t.blocks) >= maxBlocks {
		delete(t.blocks, t.leastRecentlySeen())
	}
	t.blocks[b.Piece] = &block{Block: b}
}

func (t *Tracker) leastRecentlySeen() Piece {
	var oldest *block
	for _, b := range t.blocks {
		if oldest == nil || b.SeenAt < oldest.SeenAt {
			oldest = b
		}
	}
	return oldest.Piece
}

// extendBlocks records a crash at which blocked pieces were present.
func (t *Tracker) extendBlocks(c *Crash) {
	for p := range c.Lost {
		b := t.blocks[p]
		if b == nil || b.Released || c.At <= b.CrashAt || !t.countsAgainst(c, p) {
			continue
		}
		if c.At >= b.probeFrom() {
			b.FailedProbes++
		}
		b.CrashAt, b.probedAt = c.At, 0
	}
}

// endBlock ends the block of a piece to which a healthy answer began after its first crash.
func (t *Tracker) endBlock(s HealthyAnswer) {
	if b := t.blocks[s.Piece]; b != nil && s.BegunAt > b.FirstCrashAt {
		t.release(b)
	}
}

// release ends the block of a piece that is not to blame. Peers are told so, since they may have
// adopted the block.
func (t *Tracker) release(b *block) {
	if b.Released {
		return
	}
	b.Released, b.probedAt = true, 0
	t.changes = append(t.changes, Change{Piece: b.Piece})
}

// Verdict tells whether a prompt may be sent to a target.
type Verdict struct {
	// Blocked is set if it may not, for its piece Piece.
	Blocked bool
	Piece   Piece
	// Probe is set if it is the one request that shows whether a blocked piece is to blame. It
	// must not be sent again if its target crashes.
	Probe bool
}

// Check decides whether a prompt with these pieces may be sent to a target. mayProbe reports
// whether this is the one instance of the fleet that probes blocked pieces.
func (t *Tracker) Check(now time.Duration, pieces []Piece, mayProbe func() bool) Verdict {
	v := Verdict{}
	for _, p := range pieces {
		b := t.blocks[p]
		if b == nil || b.Released {
			continue
		}
		b.SeenAt = max(b.SeenAt, now)
		if !t.isProbeDue(now, b, pieces) || !mayProbe() {
			return Verdict{Blocked: true, Piece: p}
		}
		b.probedAt = now
		v = Verdict{Piece: p, Probe: true}
	}
	return v
}

// isProbeDue reports whether a prompt with these pieces may probe a blocked piece now.
func (t *Tracker) isProbeDue(now time.Duration, b *block, pieces []Piece) bool {
	return now >= b.probeFrom() && (b.probedAt == 0 || now-b.probedAt >= probeTimeout) && !t.isSuspectBeside(b.Piece, pieces)
}

// isSuspectBeside reports whether a prompt has another piece that may be to blame for crashes. Such
// a prompt would not show anything about the piece.
func (t *Tracker) isSuspectBeside(p Piece, pieces []Piece) bool {
	return slices.ContainsFunc(t.suspicions(nil), func(s *suspicion) bool {
		return s.piece != p && s.crashes > 1 && slices.Contains(pieces, s.piece)
	})
}

// Blocks returns the blocked pieces in ascending order.
func (t *Tracker) Blocks() []Block {
	out := make([]Block, 0, len(t.blocks))
	for _, b := range t.blocks {
		out = append(out, b.Block)
	}
	slices.SortFunc(out, func(a, b Block) int { return cmp.Compare(a.Piece, b.Piece) })
	return out
}

// ApplyBlock adopts the block of a peer, or its release, unless a healthy answer to the piece has begun
// since its first crash.
func (t *Tracker) ApplyBlock(now time.Duration, b Block) {
	known := t.blocks[b.Piece]
	switch {
	case now-b.SeenAt > blockRetention:
	case b.Released:
		if known != nil && !isLater(known.CrashAt, b.CrashAt) {
			t.release(known)
		}
	case t.healthy.since(b.Piece, b.FirstCrashAt):
		t.unreportedHealthy = append(t.unreportedHealthy, b.Piece)
	case known == nil:
		t.addBlock(now, b)
		t.changes = append(t.changes, Change{Piece: b.Piece, Blocked: true})
	case known.Released && isLater(b.CrashAt, known.CrashAt):
		known.Block = b
		t.changes = append(t.changes, Change{Piece: b.Piece, Blocked: true})
	case !known.Released:
		known.FirstCrashAt = min(known.FirstCrashAt, b.FirstCrashAt)
		known.CrashAt, known.SeenAt = max(known.CrashAt, b.CrashAt), max(known.SeenAt, b.SeenAt)
		known.FailedProbes = max(known.FailedProbes, b.FailedProbes)
	}
}

// isLater reports whether the crash at a is another one than that at b, and later. Instances differ in
// the time of the same crash.
func isLater(a, b time.Duration) bool { return a >= b+sameCrashWindow }

// TakeChanges returns the blocks that began or ended since the last call.
func (t *Tracker) TakeChanges() []Change {
	out := t.changes
	t.changes = nil
	return out
}
