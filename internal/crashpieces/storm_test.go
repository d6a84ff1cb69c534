package crashpieces

import (
	"math/rand/v2"
	"time"
)

// storm simulates targets that answer prompts, some of which share a piece that crashes them.
type storm struct {
	stormPrompts
	rng     *rand.Rand
	tracker *Tracker
	targets []stormTarget
	pending []stormAnswer
	// crashes holds the times of the crashes by the piece, lastTarget numbers the targets'
	// processes.
	crashes    []time.Duration
	lastTarget Target
	// lateBad counts the prompts with the piece sent later than blockBound after the fifth
	// crash, lateHealthy the healthy ones from twice that time on, and refusedHealthy those of them
	// that were refused.
	lateBad, lateHealthy, refusedHealthy int
}

// stormPrompts describes the prompts of a storm.
type stormPrompts struct {
	// position is the place of the piece that crashes targets; negative for any place.
	position int
	// badPieces is the number of such pieces.
	badPieces int
	// badShare is the probability of such a prompt in each step.
	badShare float64
}

type stormTarget struct {
	process Target
	backAt  time.Duration
}

type stormAnswer struct {
	target         int
	process        Target
	pieces         []Piece
	begunAt, endAt time.Duration
	crashes        bool
}

const (
	stormTargets  = 6
	stormStep     = 10 * time.Millisecond
	stormLength   = 12 * time.Second
	stormDowntime = 700 * time.Millisecond
	// A target begins an answer within stormMaxStart, crashes stormCrashDelay later, and needs
	// up to stormMaxAnswer for the rest.
	stormMaxStart   = 200 * time.Millisecond
	stormCrashDelay = 30 * time.Millisecond
	stormMaxAnswer  = 1500 * time.Millisecond
	// blockBound is the time after the fifth crash from which the piece must be blocked.
	blockBound = 3 * time.Second
	// stormHealthyShare is the probability of a healthy prompt in each step.
	stormHealthyShare = 0.4
)

func newStorm(seed uint64, p stormPrompts) *storm {
	s := &storm{stormPrompts: p, rng: rand.New(rand.NewPCG(seed, 1)), tracker: New(), targets: make([]stormTarget, stormTargets)}
	for i := range s.targets {
		s.lastTarget++
		s.targets[i].process = s.lastTarget
	}
	return s
}

func (s *storm) run() {
	for now := time.Duration(0); now < stormLength; now += stormStep {
		if s.rng.Float64() < s.badShare {
			s.send(now, s.crashingPrompt(), true)
		}
		if s.rng.Float64() < stormHealthyShare {
			s.send(now, []Piece{shared, common + Piece(s.rng.IntN(8)), 0x1000 + Piece(s.rng.IntN(100))}, false)
		}
		s.advance(now)
	}
}

// crashingPrompt returns the pieces of a prompt that crashes its target.
func (s *storm) crashingPrompt() []Piece {
	pieces := []Piece{shared, common + Piece(s.rng.IntN(8)), 0x1000 + Piece(s.rng.IntN(100))}
	position := s.position
	if position < 0 {
		position = s.rng.IntN(len(pieces))
	}
	pieces[position] = bad + Piece(s.rng.IntN(s.badPieces))
	return pieces
}

// send sends a prompt to a target that is up.
func (s *storm) send(now time.Duration, pieces []Piece, crashes bool) {
	blocked := s.tracker.Check(now, pieces, func() bool { return true }).Blocked
	s.count(now, blocked, crashes)
	if blocked {
		return
	}
	i := s.rng.IntN(len(s.targets))
	if now < s.targets[i].backAt {
		return
	}
	begunAt := now + time.Duration(s.rng.Int64N(int64(stormMaxStart)))
	endAt := begunAt + time.Duration(s.rng.Int64N(int64(stormMaxAnswer)))
	if crashes {
		endAt = begunAt + stormCrashDelay
	}
	s.pending = append(s.pending, stormAnswer{target: i, process: s.targets[i].process, pieces: pieces, begunAt: begunAt, endAt: endAt, crashes: crashes})
}

// count counts a prompt for the checks.
func (s *storm) count(now time.Duration, blocked, crashes bool) {
	if len(s.crashes) < 5 || now < s.crashes[4]+blockBound {
		return
	}
	switch {
	case crashes && !blocked:
		s.lateBad++
	case !crashes && now >= s.crashes[4]+2*blockBound:
		s.lateHealthy++
		if blocked {
			s.refusedHealthy++
		}
	}
}

// advance ends the answers that are due, and loses those of a target that crashes.
func (s *storm) advance(now time.Duration) {
	var open []stormAnswer
	for _, a := range s.pending {
		switch {
		case a.endAt > now || a.process != s.targets[a.target].process:
			open = append(open, a)
		case a.crashes:
			s.crashes = append(s.crashes, now)
			s.lastTarget++
			s.targets[a.target] = stormTarget{process: s.lastTarget, backAt: now + stormDowntime}
			open = append(open, a)
		default:
			s.tracker.Answered(a.pieces, a.begunAt)
		}
	}
	s.pending = nil
	for _, a := range open {
		switch {
		case a.process == s.targets[a.target].process:
			s.pending = append(s.pending, a)
			if now-a.begunAt >= HealthyAfter {
				s.tracker.Answered(a.pieces, a.begunAt)
			}
		case now-a.begunAt < HealthyAfter:
			s.tracker.Lost(now, a.process, a.pieces)
		}
	}
}
