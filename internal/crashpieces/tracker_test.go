package crashpieces

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	shared  Piece = 0xaa // in all prompts
	common  Piece = 0x50 // in many
	bad     Piece = 0xbad
	fleet         = 6
	seconds       = time.Second
)

// step is an event at a tracker, in the order of its time.
type step struct {
	at     time.Duration
	target Target // of a lost request; 0 for a healthy answer
	pieces []Piece
}

func play(t *Tracker, steps []step) {
	for _, s := range steps {
		if s.target != 0 {
			t.Lost(s.at, s.target, s.pieces)
		} else {
			t.Answered(s.pieces, s.at)
		}
	}
}

// crashes returns n crashes, one each interval, in which one request with each list of pieces is
// lost.
func crashes(n int, interval time.Duration, lost ...[]Piece) []step {
	var out []step
	for i := range n {
		for _, pieces := range lost {
			out = append(out, step{at: time.Duration(i+1) * interval, target: Target(i + 1), pieces: pieces})
		}
	}
	return out
}

func (t *Tracker) isBlocked(now time.Duration, p Piece) bool {
	return t.Check(now, []Piece{p}, never).Blocked
}

func never() bool { return false }

// Guards against blaming the wrong piece, or none, for crashes.
func TestPieceThatExplainsTheCrashesIsBlocked(t *testing.T) {
	const often = 200 * time.Millisecond
	healthy := func(pieces []Piece, at ...time.Duration) (out []step) {
		for _, a := range at {
			out = append(out, step{at: a, pieces: pieces})
		}
		return out
	}
	for name, c := range map[string]struct {
		steps []step
		want  []Piece
	}{
		"in all crashes":               {steps: crashes(MinCrashes, often, []Piece{bad}), want: []Piece{bad}},
		"one crash too few":            {steps: crashes(MinCrashes-1, often, []Piece{bad})},
		"first piece":                  {steps: crashes(MinCrashes, often, []Piece{bad, common}, []Piece{shared, common}, []Piece{shared}), want: []Piece{bad}},
		"last but one":                 {steps: crashes(MinCrashes, often, []Piece{shared, common, bad}, []Piece{shared, common}, []Piece{shared, common}), want: []Piece{bad}},
		"shared with healthy requests": {steps: append(crashes(MinCrashes, often, []Piece{shared}), healthy([]Piece{shared}, 3*often+1)...)},
		"cleared between crashes": {
			steps: append(append(crashes(MinCrashes-1, often, []Piece{bad}), healthy([]Piece{bad}, 3*often+1)...), step{at: 4 * often, target: 99, pieces: []Piece{bad}}),
		},
		"answer began before the crashes": {
			steps: append(healthy([]Piece{bad}, often), crashes(MinCrashes, often, []Piece{bad})...), want: []Piece{bad},
		},
		"all targets at the same moment": {steps: func() (out []step) {
			for i := range 2 * MinCrashes {
				out = append(out, step{at: seconds, target: Target(i + 1), pieces: []Piece{shared}})
			}
			return out
		}()},
		"one target crashes by itself": {steps: func() (out []step) {
			for i := range 2*MinCrashes - 1 {
				out = append(out, step{at: time.Duration(i) * seconds, target: 1, pieces: []Piece{shared}})
			}
			return out
		}()},
		"many requests lost in one crash": {steps: func() (out []step) {
			for i := range 10 * MinCrashes {
				out = append(out, step{at: time.Duration(i) * sameCrashWindow / (10 * MinCrashes), target: Target(1 + i%2), pieces: []Piece{shared}})
			}
			return out
		}()},
		"two pieces in turn": {steps: func() (out []step) {
			for i := range 2 * MinCrashes {
				at, target := time.Duration(i+1)*often, Target(i+1)
				out = append(out, step{at: at, target: target, pieces: []Piece{shared, bad + Piece(i%2)}})
				for range 2 {
					out = append(out, step{at: at, target: target, pieces: []Piece{shared, common}})
				}
			}
			return out
		}(), want: []Piece{bad, bad + 1}},
		"longer ago than crashes are remembered": {steps: crashes(MinCrashes, crashRetention/2, []Piece{bad})},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tracker := New()
			play(tracker, c.steps)
			var got []Piece
			for _, b := range tracker.Blocks() {
				if !b.Released {
					got = append(got, b.Piece)
				}
			}
			is.Equal(got, c.want)
		})
	}
}

// Guards against a healthy piece that stays blocked although requests with it are answered, and
// against a block that ends by an answer that began before the crash.
func TestHealthyAnswerEndsBlock(t *testing.T) {
	is := is.New(t)
	tracker := New()
	play(tracker, crashes(MinCrashes, seconds, []Piece{bad}))
	first, last := seconds, MinCrashes*seconds
	is.True(tracker.isBlocked(last, bad))
	tracker.Answered([]Piece{bad}, first)
	is.True(tracker.isBlocked(last, bad))
	tracker.Answered([]Piece{bad}, first+1)
	is.True(!tracker.isBlocked(last+2, bad))
	is.Equal(tracker.TakeChanges(), []Change{{Piece: bad, Blocked: true, Crashes: MinCrashes, Lost: MinCrashes}, {Piece: bad}})
}

// Guards against a block that never ends, and against one that ends at all instances at once, so
// that each loses targets again.
func TestBlockIsProbedByOneRequestAtOneInstance(t *testing.T) {
	is := is.New(t)
	tracker := New()
	play(tracker, crashes(MinCrashes, seconds, []Piece{bad}))
	blocked := func(now time.Duration, mayProbe bool) bool {
		return tracker.Check(now, []Piece{bad}, func() bool { return mayProbe }).Blocked
	}
	first := MinCrashes*seconds + firstProbeAfter
	is.True(blocked(first-1, true))
	is.True(blocked(first, false))
	is.True(!blocked(first, true))
	is.True(blocked(first+1, true)) // the first request is still out
	tracker.Lost(first+seconds, 77, []Piece{bad})
	second := first + seconds + BlockTime
	is.True(blocked(second-1, true))
	is.True(!blocked(second, true))
	is.True(blocked(second+probeTimeout-1, true))
	is.True(!blocked(second+probeTimeout, true)) // the one before had no outcome
	tracker.Lost(second+probeTimeout, 78, []Piece{bad})
	third := second + probeTimeout + 2*BlockTime
	is.True(blocked(third-1, true))
	is.True(!blocked(third, true))
	tracker.Answered([]Piece{bad}, third+1)
	is.True(!blocked(third+2, false))
}

// Guards against an instance that goes on sending requests with a piece that others have blocked,
// also after its restart, and against a block that an instance with healthy answers adopts.
func TestBlocksOfPeersAreAdopted(t *testing.T) {
	is := is.New(t)
	first, restarted, other := New(), New(), New()
	play(first, crashes(MinCrashes, seconds, []Piece{bad}))
	now := MinCrashes * seconds
	other.Answered([]Piece{bad}, now+1)
	for _, b := range first.Blocks() {
		restarted.ApplyBlock(now, b)
		other.ApplyBlock(now+2, b)
	}
	is.True(restarted.isBlocked(now, bad))
	is.True(!other.isBlocked(now+2, bad))
	for _, s := range other.TakeReports(now+3, fleet, rng()).Healthy {
		first.ApplyHealthy(s)
		restarted.ApplyHealthy(s)
	}
	is.True(!first.isBlocked(now+4, bad))
	is.True(!restarted.isBlocked(now+4, bad))
}

// Guards against a released piece that is blocked again by a peer that does not know of the release,
// and against one that stays released although it has crashed targets since.
func TestReleaseOutlivesOldBlocks(t *testing.T) {
	for name, c := range map[string]struct {
		crashedLater time.Duration
		blocked      bool
	}{
		"the same crash, timed otherwise": {crashedLater: sameCrashWindow - 1},
		"a later crash":                   {crashedLater: sameCrashWindow, blocked: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tracker := New()
			block := Block{Piece: bad, FirstCrashAt: seconds, CrashAt: 5 * seconds, SeenAt: 5 * seconds}
			tracker.ApplyBlock(5*seconds, block)
			is.True(tracker.isBlocked(5*seconds, bad))
			released := block
			released.Released, released.CrashAt = true, 5*seconds-sameCrashWindow+1
			tracker.ApplyBlock(6*seconds, released)
			is.True(!tracker.isBlocked(6*seconds, bad))
			block.CrashAt += c.crashedLater
			tracker.ApplyBlock(7*seconds, block)
			is.Equal(tracker.isBlocked(7*seconds, bad), c.blocked)
		})
	}
}

func rng() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// Guards against pieces that each instance sees crash too rarely to block them, and against healthy
// pieces that are answered at other instances only.
func TestInstancesJoinTheirEvidence(t *testing.T) {
	is := is.New(t)
	trackers := make([]*Tracker, fleet)
	for i := range trackers {
		trackers[i] = New()
	}
	exchange := func(now time.Duration) {
		for i, from := range trackers {
			r := from.TakeReports(now, fleet, rng())
			for j, to := range trackers {
				if j == i {
					continue
				}
				for _, c := range r.Crashes {
					to.ApplyCrash(now, c)
				}
				for _, s := range r.Healthy {
					to.ApplyHealthy(s)
				}
			}
		}
	}
	for i := range 2 * MinCrashes {
		now := time.Duration(i+1) * 300 * time.Millisecond
		trackers[i%2].Lost(now, Target(i+1), []Piece{shared, bad})
		trackers[2+i%2].Lost(now, Target(i+1), []Piece{shared, common})
		trackers[4].Answered([]Piece{shared}, now+1)
		trackers[5].Answered([]Piece{shared, common}, now+1)
		exchange(now + 100*time.Millisecond)
	}
	for _, tracker := range trackers {
		is.True(tracker.isBlocked(3*seconds, bad))     // at each instance
		is.True(!tracker.isBlocked(3*seconds, shared)) // at no instance
		is.True(!tracker.isBlocked(3*seconds, common))
	}
}

// Guards against state that grows with the number of crashes, pieces or blocks.
func TestStateIsBounded(t *testing.T) {
	is := is.New(t)
	tracker := New()
	for i := range 5 * maxBlocks {
		now := time.Duration(i) * 150 * time.Millisecond
		tracker.Lost(now, Target(i+1), []Piece{Piece(i / MinCrashes), Piece(1e6 + i)})
	}
	is.True(len(tracker.crashes) <= maxCrashes)
	is.True(len(tracker.unreported) <= maxCrashes)
	is.True(len(tracker.blocks) <= maxBlocks)
	for i := range 2 * maxPiecesPerCrash {
		tracker.Lost(time.Hour, 1, []Piece{Piece(2e6 + i)})
	}
	for _, c := range tracker.crashes {
		is.True(len(c.Lost) <= maxPiecesPerCrash)
	}
	for i := range 4 * maxHealthy {
		tracker.Answered([]Piece{Piece(i)}, time.Duration(i))
	}
	is.True(len(tracker.healthy.newer)+len(tracker.healthy.older) <= 2*maxHealthy)
	is.True(len(tracker.TakeReports(0, fleet, rng()).Healthy) <= maxReports)
}

// Guards against finding the piece too late, or blaming healthy pieces, when many targets crash.
func TestStormsOfCrashes(t *testing.T) {
	const seeds = 20
	for name, prompts := range map[string]stormPrompts{
		"any place":      {position: -1, badPieces: 1, badShare: 0.1},
		"first":          {position: 0, badPieces: 1, badShare: 0.1},
		"second":         {position: 1, badPieces: 1, badShare: 0.1},
		"last but one":   {position: 2, badPieces: 1, badShare: 0.1},
		"more often":     {position: 1, badPieces: 1, badShare: 0.3},
		"seldom":         {position: 1, badPieces: 1, badShare: 0.01},
		"two pieces":     {position: 1, badPieces: 2, badShare: 0.1},
		"two, any place": {position: -1, badPieces: 2, badShare: 0.2},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(seeds) {
				s := newStorm(seed, prompts)
				s.run()
				if s.lateBad > maxLateBad*prompts.badPieces || 4*s.refusedHealthy > s.lateHealthy {
					t.Errorf("seed %d: %d prompts with the piece were sent late, %d of %d healthy ones refused", seed, s.lateBad, s.refusedHealthy, s.lateHealthy)
				}
			}
		})
	}
}

// maxLateBad is the number of prompts with a piece that may be sent after the bound.
const maxLateBad = 3
