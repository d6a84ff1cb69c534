package crashpieces

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// suspicion is the evidence against one piece.
type suspicion struct {
	piece Piece
	// crashes is the number of separate crashes since the last healthy answer, lost the number
	// of requests with the piece that were lost in them.
	crashes, lost int
	// targets are those that crashed.
	targets map[Target]bool
	// firstAt and lastAt are the times of the first and the last of these crashes.
	firstAt, lastAt time.Duration
}

// isEnough reports whether the evidence suffices to block the piece. A single target may crash by
// itself again and again, and requests with the same pieces go to the same target.
func (s *suspicion) isEnough() bool {
	return s.crashes >= MinCrashes && len(s.targets) > 1 || s.crashes >= 2*MinCrashes
}

// compare orders suspicions by how well they explain the crashes: by the crashes, and by how few
// requests were lost for each of them.
func (s *suspicion) compare(o *suspicion) int {
	return cmp.Or(
		cmp.Compare(s.crashes*s.crashes*o.lost, o.crashes*o.crashes*s.lost),
		cmp.Compare(s.crashes*o.lost, o.crashes*s.lost),
		cmp.Compare(o.piece, s.piece),
	)
}

// judge decides anew which pieces explain the known crashes. It blocks these, and ends the blocks of
// pieces whose crashes are explained by others.
func (t *Tracker) judge(now time.Duration) {
	guilty := map[Piece]*suspicion{}
	for {
		s := t.bestExplanation(guilty)
		if s == nil {
			break
		}
		guilty[s.piece] = s
	}
	for p, s := range guilty {
		if b := t.blocks[p]; b == nil || b.Released {
			t.block(now, s)
		}
	}
	for p, b := range t.blocks {
		if guilty[p] == nil && t.explainedByOthers(p, guilty) {
			t.release(b)
		}
	}
}

// bestExplanation returns the piece that explains the crashes best in which no guilty piece was
// lost; nil if no piece was present at enough of them. A piece that explains them better, but was
// present at fewer of them so far, is waited for.
func (t *Tracker) bestExplanation(guilty map[Piece]*suspicion) *suspicion {
	suspicions := slices.DeleteFunc(t.suspicions(guilty), func(s *suspicion) bool { return s.crashes < 2 })
	if len(suspicions) == 0 {
		return nil
	}
	best := slices.MaxFunc(suspicions, (*suspicion).compare)
	if !best.isEnough() {
		return nil
	}
	return best
}

// suspicions returns the evidence against all pieces, from the crashes in which no guilty piece was
// lost.
func (t *Tracker) suspicions(guilty map[Piece]*suspicion) []*suspicion {
	open := slices.DeleteFunc(slices.Clone(t.crashes), func(c *Crash) bool { return t.isExplained(c, guilty) })
	slices.SortFunc(open, func(a, b *Crash) int { return cmp.Compare(a.At, b.At) })
	byPiece := map[Piece]*suspicion{}
	for _, c := range open {
		for p, lost := range c.Lost {
			if !t.countsAgainst(c, p) {
				continue
			}
			s := byPiece[p]
			if s == nil {
				s = &suspicion{piece: p, targets: map[Target]bool{}, firstAt: c.At, lastAt: c.At - crashSpacing}
				byPiece[p] = s
			}
			s.lost += lost
			s.targets[c.Target] = true
			if c.At-s.lastAt >= crashSpacing {
				s.crashes++
				s.lastAt = c.At
			}
		}
	}
	return slices.Collect(maps.Values(byPiece))
}

// isExplained reports whether a guilty piece was lost in the crash.
func (t *Tracker) isExplained(c *Crash, guilty map[Piece]*suspicion) bool {
	for p := range guilty {
		if t.countsAgainst(c, p) {
			return true
		}
	}
	return false
}

// explainedByOthers reports whether guilty pieces explain the crashes of another piece.
func (t *Tracker) explainedByOthers(p Piece, guilty map[Piece]*suspicion) bool {
	crashes, explained := 0, 0
	for _, c := range t.crashes {
		if !t.countsAgainst(c, p) {
			continue
		}
		crashes++
		if t.isExplained(c, guilty) {
			explained++
		}
	}
	return explained > 0 && crashes-explained < 2
}

// countsAgainst reports whether a piece was lost in the crash, and not cleared of it.
func (t *Tracker) countsAgainst(c *Crash, p Piece) bool {
	return c.Lost[p] > 0 && !t.healthy.since(p, c.At)
}
