package crashparts

import (
	"slices"
	"time"
)

// Part identifies a part of prompts.
type Part uint64

// Target identifies a target. It may keep its identity when its process restarts.
type Target uint64

const (
	// MinCrashes is the number of crashes without a sound answer at which a part is blocked.
	MinCrashes = 4
	// SoundAfter is how long an answer must have gone on for its parts to be sound. A target
	// that crashes on a part does so while it writes the first events.
	SoundAfter = 300 * time.Millisecond
	// crashSpacing is the minimum time between two crashes that count separately. Targets that
	// crash at the same moment have a common cause other than a request.
	crashSpacing = 100 * time.Millisecond
	// sameCrashWindow is the maximum time between losses at a target that belong to one crash. It
	// is longer than the time until all instances notice it, and shorter than a restart.
	sameCrashWindow = 500 * time.Millisecond
	// crashRetention is how long a crash is remembered.
	crashRetention = time.Minute
	// maxCrashes bounds the crashes that are remembered, maxPartsPerCrash the parts of each.
	maxCrashes       = 64
	maxPartsPerCrash = 64
)

// Crash is the loss of a target, as seen by one instance.
type Crash struct {
	Target Target
	At     time.Duration
	// Lost is the number of requests lost with the target that count against each part.
	Lost map[Part]int
}

// Sound is a sound answer to a prompt with a part.
type Sound struct {
	Part Part
	// BegunAt is the time at which the answer began.
	BegunAt time.Duration
}

// Tracker holds what one instance knows of crashes and parts. It is not safe for concurrent use.
type Tracker struct {
	crashes []*Crash // in the order of their arrival
	sound   soundAnswers
	blocks  map[Part]*block
	// unreported are the crashes seen by this instance since the last call of TakeReports,
	// unreportedSound the parts whose sound answers contradict the block of a peer.
	unreported      []*Crash
	unreportedSound []Part
	// reportedSound is the last sound answer to each part that this instance or a peer has
	// reported.
	reportedSound map[Part]time.Duration
	changes       []Change
}

// New returns a Tracker without any evidence.
func New() *Tracker {
	return &Tracker{sound: newSoundAnswers(), blocks: map[Part]*block{}, reportedSound: map[Part]time.Duration{}}
}

// Lost records that a request was lost with its target before its answer had gone on for
// SoundAfter. parts are those that its prompt may share with others.
func (t *Tracker) Lost(now time.Duration, target Target, parts []Part) {
	c := &Crash{Target: target, At: now, Lost: map[Part]int{}}
	for _, p := range parts {
		c.Lost[p]++
	}
	t.unreported = merge(t.unreported, c)
	t.ApplyCrash(now, c)
}

// ApplyCrash merges a crash as seen by an instance.
func (t *Tracker) ApplyCrash(now time.Duration, c *Crash) {
	t.expire(now)
	t.crashes = merge(t.crashes, c)
	t.extendBlocks(c)
	t.judge(now)
}

// merge adds the losses of a crash to what is known of the same one. It drops the oldest crash if
// there are too many.
func merge(crashes []*Crash, c *Crash) []*Crash {
	i := slices.IndexFunc(crashes, func(known *Crash) bool {
		return known.Target == c.Target && (known.At-c.At).Abs() < sameCrashWindow
	})
	if i < 0 {
		crashes = append(crashes, &Crash{Target: c.Target, At: c.At, Lost: map[Part]int{}})
		if len(crashes) > maxCrashes {
			crashes = crashes[1:]
		}
		i = len(crashes) - 1
	}
	known := crashes[i]
	known.At = min(known.At, c.At)
	for p, n := range c.Lost {
		if _, ok := known.Lost[p]; ok || len(known.Lost) < maxPartsPerCrash {
			known.Lost[p] += n
		}
	}
	return crashes
}

// Answered records a sound answer that this instance has relayed to a prompt with these parts.
func (t *Tracker) Answered(parts []Part, begunAt time.Duration) {
	for _, p := range parts {
		t.recordSound(Sound{Part: p, BegunAt: begunAt})
	}
}

// ApplySound records a sound answer that a peer has reported.
func (t *Tracker) ApplySound(s Sound) {
	t.reportedSound[s.Part] = max(t.reportedSound[s.Part], s.BegunAt)
	t.recordSound(s)
}

// recordSound clears the part of the crashes before the answer began, and ends its block if that
// was after the first crash of it.
func (t *Tracker) recordSound(s Sound) {
	if t.sound.record(s) {
		t.endBlock(s)
	}
}

// expire forgets crashes and reports that are too old to count.
func (t *Tracker) expire(now time.Duration) {
	t.crashes = slices.DeleteFunc(t.crashes, func(c *Crash) bool { return now-c.At > crashRetention })
	for p, at := range t.reportedSound {
		if now-at > crashRetention {
			delete(t.reportedSound, p)
		}
	}
}
