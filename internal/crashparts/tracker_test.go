package crashparts

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	shared  Part = 0xaa // in all prompts
	common  Part = 0x50 // in many
	bad     Part = 0xbad
	fleet        = 6
	seconds      = time.Second
)

// step is an event at a tracker, in the order of its time.
type step struct {
	at     time.Duration
	target Target // of a lost request; 0 for a sound answer
	parts  []Part
}

func play(t *Tracker, steps []step) {
	for _, s := range steps {
		if s.target != 0 {
			t.Lost(s.at, s.target, s.parts)
		} else {
			t.Answered(s.parts, s.at)
		}
	}
}

// crashes returns n crashes, one each interval, in which one request with each list of parts is
// lost.
func crashes(n int, interval time.Duration, lost ...[]Part) []step {
	var out []step
	for i := range n {
		for _, parts := range lost {
			out = append(out, step{at: time.Duration(i+1) * interval, target: Target(i + 1), parts: parts})
		}
	}
	return out
}

func (t *Tracker) isBlocked(now time.Duration, p Part) bool {
	return t.Check(now, []Part{p}, never).Blocked
}

func never() bool { return false }

// Guards against blaming the wrong part, or none, for crashes.
func TestPartThatExplainsTheCrashesIsBlocked(t *testing.T) {
	const often = 200 * time.Millisecond
	sound := func(parts []Part, at ...time.Duration) (out []step) {
		for _, a := range at {
			out = append(out, step{at: a, parts: parts})
		}
		return out
	}
	for name, c := range map[string]struct {
		steps []step
		want  []Part
	}{
		"in all crashes":             {steps: crashes(MinCrashes, often, []Part{bad}), want: []Part{bad}},
		"one crash too few":          {steps: crashes(MinCrashes-1, often, []Part{bad})},
		"first part":                 {steps: crashes(MinCrashes, often, []Part{bad, common}, []Part{shared, common}, []Part{shared}), want: []Part{bad}},
		"last but one":               {steps: crashes(MinCrashes, often, []Part{shared, common, bad}, []Part{shared, common}, []Part{shared, common}), want: []Part{bad}},
		"shared with sound requests": {steps: append(crashes(MinCrashes, often, []Part{shared}), sound([]Part{shared}, 3*often+1)...)},
		"cleared between crashes": {
			steps: append(append(crashes(MinCrashes-1, often, []Part{bad}), sound([]Part{bad}, 3*often+1)...), step{at: 4 * often, target: 99, parts: []Part{bad}}),
		},
		"answer began before the crashes": {
			steps: append(sound([]Part{bad}, often), crashes(MinCrashes, often, []Part{bad})...), want: []Part{bad},
		},
		"all targets at the same moment": {steps: func() (out []step) {
			for i := range 2 * MinCrashes {
				out = append(out, step{at: seconds, target: Target(i + 1), parts: []Part{shared}})
			}
			return out
		}()},
		"one target crashes by itself": {steps: func() (out []step) {
			for i := range 2*MinCrashes - 1 {
				out = append(out, step{at: time.Duration(i) * seconds, target: 1, parts: []Part{shared}})
			}
			return out
		}()},
		"many requests lost in one crash": {steps: func() (out []step) {
			for i := range 10 * MinCrashes {
				out = append(out, step{at: time.Duration(i) * sameCrashWindow / (10 * MinCrashes), target: Target(1 + i%2), parts: []Part{shared}})
			}
			return out
		}()},
		"two parts in turn": {steps: func() (out []step) {
			for i := range 2 * MinCrashes {
				at, target := time.Duration(i+1)*often, Target(i+1)
				out = append(out, step{at: at, target: target, parts: []Part{shared, bad + Part(i%2)}})
				for range 2 {
					out = append(out, step{at: at, target: target, parts: []Part{shared, common}})
				}
			}
			return out
		}(), want: []Part{bad, bad + 1}},
		"longer ago than crashes are remembered": {steps: crashes(MinCrashes, crashRetention/2, []Part{bad})},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tracker := New()
			play(tracker, c.steps)
			var got []Part
			for _, b := range tracker.Blocks() {
				if !b.Released {
					got = append(got, b.Part)
				}
			}
			is.Equal(got, c.want)
		})
	}
}

// Guards against a sound part that stays blocked although requests with it are answered, and
// against a block that ends by an answer that began before the crash.
func TestSoundAnswerEndsBlock(t *testing.T) {
	is := is.New(t)
	tracker := New()
	play(tracker, crashes(MinCrashes, seconds, []Part{bad}))
	first, last := seconds, MinCrashes*seconds
	is.True(tracker.isBlocked(last, bad))
	tracker.Answered([]Part{bad}, first)
	is.True(tracker.isBlocked(last, bad))
	tracker.Answered([]Part{bad}, first+1)
	is.True(!tracker.isBlocked(last+2, bad))
	is.Equal(tracker.TakeChanges(), []Change{{Part: bad, Blocked: true, Crashes: MinCrashes, Lost: MinCrashes}, {Part: bad}})
}

// Guards against a block that never ends, and against one that ends at all instances at once, so
// that each loses targets again.
func TestBlockIsProbedByOneRequestAtOneInstance(t *testing.T) {
	is := is.New(t)
	tracker := New()
	play(tracker, crashes(MinCrashes, seconds, []Part{bad}))
	blocked := func(now time.Duration, mayProbe bool) bool {
		return tracker.Check(now, []Part{bad}, func() bool { return mayProbe }).Blocked
	}
	first := MinCrashes*seconds + firstProbeAfter
	is.True(blocked(first-1, true))
	is.True(blocked(first, false))
	is.True(!blocked(first, true))
	is.True(blocked(first+1, true)) // the first request is still out
	tracker.Lost(first+seconds, 77, []Part{bad})
	second := first + seconds + BlockTime
	is.True(blocked(second-1, true))
	is.True(!blocked(second, true))
	is.True(blocked(second+probeTimeout-1, true))
	is.True(!blocked(second+probeTimeout, true)) // the one before had no outcome
	tracker.Lost(second+probeTimeout, 78, []Part{bad})
	third := second + probeTimeout + 2*BlockTime
	is.True(blocked(third-1, true))
	is.True(!blocked(third, true))
	tracker.Answered([]Part{bad}, third+1)
	is.True(!blocked(third+2, false))
}

// Guards against an instance that goes on sending requests with a part that others have blocked,
// also after its restart, and against a block that an instance with sound answers adopts.
func TestBlocksOfPeersAreAdopted(t *testing.T) {
	is := is.New(t)
	first, restarted, other := New(), New(), New()
	play(first, crashes(MinCrashes, seconds, []Part{bad}))
	now := MinCrashes * seconds
	other.Answered([]Part{bad}, now+1)
	for _, b := range first.Blocks() {
		restarted.ApplyBlock(now, b)
		other.ApplyBlock(now+2, b)
	}
	is.True(restarted.isBlocked(now, bad))
	is.True(!other.isBlocked(now+2, bad))
	for _, s := range other.TakeReports(now+3, fleet, rng()).Sound {
		first.ApplySound(s)
		restarted.ApplySound(s)
	}
	is.True(!first.isBlocked(now+4, bad))
	is.True(!restarted.isBlocked(now+4, bad))
}

// Guards against a released part that is blocked again by a peer that does not know of the release,
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
			block := Block{Part: bad, FirstCrashAt: seconds, CrashAt: 5 * seconds, SeenAt: 5 * seconds}
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

// Guards against parts that each instance sees crash too rarely to block them, and against sound
// parts that are answered at other instances only.
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
				for _, s := range r.Sound {
					to.ApplySound(s)
				}
			}
		}
	}
	for i := range 2 * MinCrashes {
		now := time.Duration(i+1) * 300 * time.Millisecond
		trackers[i%2].Lost(now, Target(i+1), []Part{shared, bad})
		trackers[2+i%2].Lost(now, Target(i+1), []Part{shared, common})
		trackers[4].Answered([]Part{shared}, now+1)
		trackers[5].Answered([]Part{shared, common}, now+1)
		exchange(now + 100*time.Millisecond)
	}
	for _, tracker := range trackers {
		is.True(tracker.isBlocked(3*seconds, bad))     // at each instance
		is.True(!tracker.isBlocked(3*seconds, shared)) // at no instance
		is.True(!tracker.isBlocked(3*seconds, common))
	}
}

// Guards against state that grows with the number of crashes, parts or blocks.
func TestStateIsBounded(t *testing.T) {
	is := is.New(t)
	tracker := New()
	for i := range 5 * maxBlocks {
		now := time.Duration(i) * 150 * time.Millisecond
		tracker.Lost(now, Target(i+1), []Part{Part(i / MinCrashes), Part(1e6 + i)})
	}
	is.True(len(tracker.crashes) <= maxCrashes)
	is.True(len(tracker.unreported) <= maxCrashes)
	is.True(len(tracker.blocks) <= maxBlocks)
	for i := range 2 * maxPartsPerCrash {
		tracker.Lost(time.Hour, 1, []Part{Part(2e6 + i)})
	}
	for _, c := range tracker.crashes {
		is.True(len(c.Lost) <= maxPartsPerCrash)
	}
	for i := range 4 * maxSound {
		tracker.Answered([]Part{Part(i)}, time.Duration(i))
	}
	is.True(len(tracker.sound.newer)+len(tracker.sound.older) <= 2*maxSound)
	is.True(len(tracker.TakeReports(0, fleet, rng()).Sound) <= maxReports)
}

// Guards against finding the part too late, or blaming sound parts, when many targets crash.
func TestStormsOfCrashes(t *testing.T) {
	const seeds = 20
	for name, prompts := range map[string]stormPrompts{
		"any place":      {position: -1, badParts: 1, badShare: 0.1},
		"first":          {position: 0, badParts: 1, badShare: 0.1},
		"second":         {position: 1, badParts: 1, badShare: 0.1},
		"last but one":   {position: 2, badParts: 1, badShare: 0.1},
		"more often":     {position: 1, badParts: 1, badShare: 0.3},
		"seldom":         {position: 1, badParts: 1, badShare: 0.01},
		"two parts":      {position: 1, badParts: 2, badShare: 0.1},
		"two, any place": {position: -1, badParts: 2, badShare: 0.2},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(seeds) {
				s := newStorm(seed, prompts)
				s.run()
				if s.lateBad > maxLateBad*prompts.badParts || 4*s.refusedSound > s.lateSound {
					t.Errorf("seed %d: %d prompts with the part were sent late, %d of %d sound ones refused", seed, s.lateBad, s.refusedSound, s.lateSound)
				}
			}
		})
	}
}

// maxLateBad is the number of prompts with a part that may be sent after the bound.
const maxLateBad = 3
