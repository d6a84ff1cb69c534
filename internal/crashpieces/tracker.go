package crashpieces

import (
	"slices"
	"time"
)

// Piece identifies a piece of prompts.
type Piece uint64

// Target identifies a target. It may keep its identity when its process restarts.
type Target uint64

const (
	// MinCrashes is the number of crashes without a healthy answer at which a piece is blocked.
	MinCrashes = 4
	// HealthyAfter is how long an answer must have gone on for its pieces to be healthy. A target
	// that crashes on a piece does so while it writes the first events.
	HealthyAfter = 300 * time.Millisecond
	// crashSpacing is the minimum time between two crashes that count separately. Targets that
	// crash at the same moment have a common cause other than a request.
	crashSpacing = 100 * time.Millisecond
	// sameCrashWindow is the maximum time between losses at a target that belong to one crash. It
	// is longer than the time until all instances notice it, and shorter than a restart.
	sameCrashWindow = 500 * time.Millisecond
	// crashRetention is how long a crash is remembered.
	crashRetention = time.Minute
	// maxCrashes bounds the crashes that are remembered, maxPiecesPerCrash the pieces of each.
	maxCrashes        = 64
	maxPiecesPerCrash = 64
)

// Crash is the loss of a target, as seen by one instance.
type Crash struct {
	Target Target
	At     time.Duration
	// Lost is the number of requests lost with the target that count against each piece.
	Lost map[Piece]int
}

// HealthyAnswer is a healthy answer to a prompt with a piece.
type HealthyAnswer struct {
	Piece Piece
	// BegunAt is the time at which the answer began.
	BegunAt time.Duration
}

// Tracker holds what one instance knows of crashes and pieces. It is not safe for concurrent use.
type Tracker struct {
	crashes []*Crash // in the order of their arrival
	healthy healthyAnswers
	blocks  map[Piece]*block
	// unreported are the crashes seen by this instance since the last call of TakeReports,
	// unreportedHealthy the pieces whose healthy answers contradict the block of a peer.
	unreported        []*Crash
	unreportedHealthy []Piece
	// reportedHealthy is the last healthy answer to each piece that this instance or a peer has
	// reported.
	reportedHealthy map[Piece]time.Duration
	changes         []Change
}

// New returns a Tracker without any evidence.
func New() *Tracker {
	return &Tracker{healthy: newHealthyAnswers(), blocks: map[Piece]*block{}, reportedHealthy: map[Piece]time.Duration{}}
}

// Lost records that a request was lost with its target before its answer had gone on for
// HealthyAfter. pieces are those that its prompt may share with others.
func (t *Tracker) Lost(now time.Duration, target Target, pieces []Piece) {
	c := &Crash{Target: target, At: now, Lost: map[Piece]int{}}
	for _, p := range pieces {
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
		crashes = append(crashes, &Crash{Target: c.Target, At: c.At, Lost: map[Piece]int{}})
		if len(crashes) > maxCrashes {
			crashes = crashes[1:]
		}
		i = len(crashes) - 1
	}
	known := crashes[i]
	known.At = min(known.At, c.At)
	for p, n := range c.Lost {
		if _, ok := known.Lost[p]; ok || len(known.Lost) < maxPiecesPerCrash {
			known.Lost[p] += n
		}
	}
	return crashes
}

// Answered records a healthy answer that this instance has relayed to a prompt with these pieces.
func (t *Tracker) Answered(pieces []Piece, begunAt time.Duration) {
	for _, p := range pieces {
		t.recordHealthy(HealthyAnswer{Piece: p, BegunAt: begunAt})
	}
}

// ApplyHealthy records a healthy answer that a peer has reported.
func (t *Tracker) ApplyHealthy(s HealthyAnswer) {
	t.reportedHealthy[s.Piece] = max(t.reportedHealthy[s.Piece], s.BegunAt)
	t.recordHealthy(s)
}

// recordHealthy clears the piece of the crashes before the answer began, and ends its block if that
// was after the first crash of it.
func (t *Tracker) recordHealthy(s HealthyAnswer) {
	if t.healthy.record(s) {
		t.endBlock(s)
	}
}

// expire forgets crashes and reports that are too old to count.
func (t *Tracker) expire(now time.Duration) {
	t.crashes = slices.DeleteFunc(t.crashes, func(c *Crash) bool { return now-c.At > crashRetention })
	for p, at := range t.reportedHealthy {
		if now-at > crashRetention {
			delete(t.reportedHealthy, p)
		}
	}
}
