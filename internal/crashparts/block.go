package crashparts

import (
	"cmp"
	"slices"
	"time"
)

const (
	// firstProbeAfter is how long a part is blocked until one request shows whether it is to
	// blame. Parts that always come together can't be told apart by crashes.
	firstProbeAfter = 2 * time.Second
	// BlockTime is how long it is blocked after the crash of that request, until the next one.
	// It doubles with each further crash, up to maxBlockTime.
	BlockTime    = time.Minute
	maxBlockTime = 16 * time.Minute
	// blockRetention is how long a block is kept after the last request with its part.
	blockRetention = 10 * time.Minute
	// probeTimeout is how long the outcome of the one request is awaited.
	probeTimeout = 5 * time.Second
	// maxBlocks bounds the parts that are blocked; the one that was seen least recently goes.
	maxBlocks = 64
)

// Change is the beginning or the end of a block.
type Change struct {
	Part    Part
	Blocked bool
	// Crashes and Lost are the evidence of this instance; 0 if a peer has blocked the part.
	Crashes, Lost int
}

// Block is a blocked part, as told to peers.
type Block struct {
	Part Part
	// FirstCrashAt and CrashAt are the times of the first and the last crash that count against
	// it, SeenAt that of the last request with it.
	FirstCrashAt, CrashAt, SeenAt time.Duration
	// FailedProbes is the number of requests that were sent to probe the part and crashed.
	FailedProbes int
	// Released is set if the part was found not to be to blame.
	Released bool
}

type block struct {
	Block
	probedAt time.Duration // start of the request that is probing; 0 for none
}

// probeFrom returns the time from which one request may probe the part.
func (b *block) probeFrom() time.Duration {
	if b.FailedProbes == 0 {
		return b.CrashAt + firstProbeAfter
	}
	return b.CrashAt + min(BlockTime<<(b.FailedProbes-1), maxBlockTime)
}

// block blocks a part.
func (t *Tracker) block(now time.Duration, s *suspicion) {
	t.addBlock(now, Block{Part: s.part, FirstCrashAt: s.firstAt, CrashAt: s.lastAt, SeenAt: now})
	t.changes = append(t.changes, Change{Part: s.part, Blocked: true, Crashes: s.crashes, Lost: s.lost})
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
	t.blocks[b.Part] = &block{Block: b}
}

func (t *Tracker) leastRecentlySeen() Part {
	var oldest *block
	for _, b := range t.blocks {
		if oldest == nil || b.SeenAt < oldest.SeenAt {
			oldest = b
		}
	}
	return oldest.Part
}

// extendBlocks records a crash at which blocked parts were present.
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

// endBlock ends the block of a part to which a sound answer began after its first crash.
func (t *Tracker) endBlock(s Sound) {
	if b := t.blocks[s.Part]; b != nil && s.BegunAt > b.FirstCrashAt {
		t.release(b)
	}
}

// release ends the block of a part that is not to blame. Peers are told so, since they may have
// adopted the block.
func (t *Tracker) release(b *block) {
	if b.Released {
		return
	}
	b.Released, b.probedAt = true, 0
	t.changes = append(t.changes, Change{Part: b.Part})
}

// Verdict tells whether a prompt may be sent to a target.
type Verdict struct {
	// Blocked is set if it may not, for its part Part.
	Blocked bool
	Part    Part
	// Probe is set if it is the one request that shows whether a blocked part is to blame. It
	// must not be sent again if its target crashes.
	Probe bool
}

// Check decides whether a prompt with these parts may be sent to a target. mayProbe reports
// whether this is the one instance of the fleet that probes blocked parts.
func (t *Tracker) Check(now time.Duration, parts []Part, mayProbe func() bool) Verdict {
	v := Verdict{}
	for _, p := range parts {
		b := t.blocks[p]
		if b == nil || b.Released {
			continue
		}
		b.SeenAt = max(b.SeenAt, now)
		if !t.isProbeDue(now, b, parts) || !mayProbe() {
			return Verdict{Blocked: true, Part: p}
		}
		b.probedAt = now
		v = Verdict{Part: p, Probe: true}
	}
	return v
}

// isProbeDue reports whether a prompt with these parts may probe a blocked part now.
func (t *Tracker) isProbeDue(now time.Duration, b *block, parts []Part) bool {
	return now >= b.probeFrom() && (b.probedAt == 0 || now-b.probedAt >= probeTimeout) && !t.isSuspectBeside(b.Part, parts)
}

// isSuspectBeside reports whether a prompt has another part that may be to blame for crashes. Such
// a prompt would not show anything about the part.
func (t *Tracker) isSuspectBeside(p Part, parts []Part) bool {
	return slices.ContainsFunc(t.suspicions(nil), func(s *suspicion) bool {
		return s.part != p && s.crashes > 1 && slices.Contains(parts, s.part)
	})
}

// Blocks returns the blocked parts in ascending order.
func (t *Tracker) Blocks() []Block {
	out := make([]Block, 0, len(t.blocks))
	for _, b := range t.blocks {
		out = append(out, b.Block)
	}
	slices.SortFunc(out, func(a, b Block) int { return cmp.Compare(a.Part, b.Part) })
	return out
}

// ApplyBlock adopts the block of a peer, or its release, unless a sound answer to the part has begun
// since its first crash.
func (t *Tracker) ApplyBlock(now time.Duration, b Block) {
	known := t.blocks[b.Part]
	switch {
	case now-b.SeenAt > blockRetention:
	case b.Released:
		if known != nil && !isLater(known.CrashAt, b.CrashAt) {
			t.release(known)
		}
	case t.sound.since(b.Part, b.FirstCrashAt):
		t.unreportedSound = append(t.unreportedSound, b.Part)
	case known == nil:
		t.addBlock(now, b)
		t.changes = append(t.changes, Change{Part: b.Part, Blocked: true})
	case known.Released && isLater(b.CrashAt, known.CrashAt):
		known.Block = b
		t.changes = append(t.changes, Change{Part: b.Part, Blocked: true})
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
