package runmove

import (
	"math/rand/v2"
	"time"
)

// Candidate is a target to which a run may be copied: it has the same weights version as the run
// and takes requests.
type Candidate struct {
	Place
	// SameDomain is set if the candidate is in the failure domain of the run's target. Copies
	// between domains take twice as long.
	SameDomain bool
	// FreeSlots and FreeTokens are the room that is left for further runs, as known here.
	FreeSlots, FreeTokens int
	// LoadsSoon is set if the candidate is among the next to load weights itself.
	LoadsSoon bool
}

// Choose returns the index of the candidate to which a run of the given size is copied. Of two
// that have room, chosen at random, it takes the one in the same domain or else the one with more
// free memory: instances that know the same loads then choose different destinations.
func Choose(candidates []Candidate, tokens int, copies *Copies, rng *rand.Rand) (int, bool) {
	var usable []int
	for i := range candidates {
		c := &candidates[i]
		if !c.LoadsSoon && c.FreeSlots > 0 && c.FreeTokens >= tokens && copies.Allowed(c.ID, tokens, c.FreeTokens) {
			usable = append(usable, i)
		}
	}
	if len(usable) == 0 {
		return 0, false
	}
	a, b := usable[rng.IntN(len(usable))], usable[rng.IntN(len(usable))]
	if better(&candidates[b], &candidates[a]) {
		a = b
	}
	return a, true
}

func better(a, b *Candidate) bool {
	if a.SameDomain != b.SameDomain {
		return a.SameDomain
	}
	return a.FreeTokens > b.FreeTokens
}

// Limits bound the copies of one instance.
type Limits struct {
	// Total is the number at a time, PerTarget that to one destination.
	Total, PerTarget int
}

var (
	// MoveLimits bound the copies in progress: they queue at the links of both ends, and a stopped
	// run waits behind those before it.
	MoveLimits = Limits{Total: 32, PerTarget: 2}
	// BackupLimits bound the backups of running requests.
	BackupLimits = Limits{Total: 64, PerTarget: 4}
)

// Copies is the budget of the copies that one instance has at other targets. It is not safe for
// concurrent use.
type Copies struct {
	limits     Limits
	inProgress map[string]usage
	total      int
}

type usage struct{ copies, tokens int }

// NewCopies returns an unused budget.
func NewCopies(l Limits) *Copies { return &Copies{limits: l, inProgress: map[string]usage{}} }

// Allowed reports whether another copy of a size may be made to a target with this much free
// memory, of which the copies in progress take a part.
func (c *Copies) Allowed(target string, tokens, freeTokens int) bool {
	u := c.inProgress[target]
	return c.total < c.limits.Total && u.copies < c.limits.PerTarget && u.tokens+tokens <= freeTokens
}

// Begin counts a copy to a target.
func (c *Copies) Begin(target string, tokens int) {
	u := c.inProgress[target]
	c.inProgress[target] = usage{copies: u.copies + 1, tokens: u.tokens + tokens}
	c.total++
}

// End counts the end of a copy to a target.
func (c *Copies) End(target string, tokens int) {
	u := c.inProgress[target]
	c.total--
	if u.copies <= 1 {
		delete(c.inProgress, target)
		return
	}
	c.inProgress[target] = usage{copies: u.copies - 1, tokens: u.tokens - tokens}
}

// WorthBackup reports whether a run is worth a backup: it may make minBackupOutput tokens or more. A
// shorter one ends so soon after its first token that a failure rarely meets it.
func WorthBackup(maxOutputTokens int) bool { return maxOutputTokens >= minBackupOutput }

// minBackupOutput is about a second of generation.
const minBackupOutput = 256

// Progress is how far a generation has come.
type Progress struct {
	// Events is the number of events since the first one, which arrived Elapsed ago.
	Events  int
	Elapsed time.Duration
	// MaxEvents is the largest number of events that the run may make; 0 if unknown.
	MaxEvents int
}

// MinRemaining is the remaining time from which a run is worth a move: a move takes two calls, a
// connection and a first event, about a tenth of a second together, and the copied memory takes
// room at the destination.
const MinRemaining = 300 * time.Millisecond

// WorthMoving reports whether a run is expected to go on for at least MinRemaining. One whose
// length or pace is unknown is.
func (p Progress) WorthMoving() bool {
	if p.MaxEvents == 0 || p.Events <= 0 {
		return true
	}
	left := max(0, p.MaxEvents-p.Events-1)
	return p.Elapsed/time.Duration(p.Events)*time.Duration(left) >= MinRemaining
}
