package directory

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestChangesSince(t *testing.T) {
	is := is.New(t)
	var c ChangeLog
	c.Reset(10)
	c.Add(10, 20, []Event{gone("a")})
	c.Add(20, 30, nil)
	c.Add(30, 40, []Event{gone("b")})
	for place, want := range map[int64]int{10: 2, 15: 2, 20: 1, 35: 1, 40: 0} {
		events, ok := c.Since(place)
		is.True(ok)
		is.Equal(len(events), want)
	}
	_, ok := c.Since(9) // before what is remembered
	is.True(!ok)
	_, ok = c.Since(41) // the asker knows more
	is.True(!ok)
	c.Add(50, 60, nil) // a gap: a peer had told of what lies between
	_, ok = c.Since(40)
	is.True(!ok)
}

// An instance asks a peer what is new, and reads by itself before the answer
// comes. The answer begins where it stood when it asked, and what it had read
// meanwhile changes nothing any more. Were that part taken as known to be empty,
// those that hear from this instance would never learn that a target drains, and
// would go on sending to it.
func TestOverlappingReadsLoseNoChange(t *testing.T) {
	is := is.New(t)
	var c ChangeLog
	c.Reset(0)
	c.Add(0, 10, []Event{put("a", 1, 2, Draining)}) // its own read
	c.Add(0, 20, []Event{gone("b")})                // the answer
	events, ok := c.Since(5)
	is.True(ok)
	is.Equal(len(events), 2)
	events, ok = c.Since(10)
	is.True(ok)
	is.Equal(len(events), 1)
}

// One instance reads the registrations, the other hears from it, now and then
// late, and from places that its own reads left it at. Targets register, beat,
// drain, leave and return under their names. Both always name the same targets:
// else one would go on sending to a target that has left.
func TestFollowerSeesWhatTheReaderSees(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(7, 7))
	for range 200 {
		w := followed{rng: rng, reader: New(), follower: New()}
		unheard := 0
		for step := range 60 {
			now := time.Duration(step+1) * 500 * time.Millisecond
			w.write()
			w.read(now)
			if rng.IntN(8) == 0 {
				w.followerReads(now)
			}
			// Unheard for longer than AwayAfter it would keep those that left.
			if unheard++; unheard == 4 || rng.IntN(3) > 0 {
				unheard = 0
				is.True(w.tell(now))
				is.Equal(usable(w.follower), usable(w.reader))
			}
		}
	}
}

// followed is a log of registrations, one that reads it, and one that hears.
type followed struct {
	rng              *rand.Rand
	log              []Event
	reader, follower *Directory
	changes          ChangeLog
	readTo, heardTo  int
	seq              int64
}

func (w *followed) write() {
	for range w.rng.IntN(4) {
		w.seq++
		id := strconv.Itoa(w.rng.IntN(5))
		switch w.rng.IntN(6) {
		case 0:
			w.log = append(w.log, gone(id))
		case 1:
			w.log = append(w.log, put(id, w.seq/20, w.seq, Draining))
		default:
			w.log = append(w.log, put(id, w.seq/20, w.seq, Ready))
		}
	}
}

func (w *followed) read(now time.Duration) {
	changed := w.reader.ApplyEvents(now, w.log[w.readTo:])
	w.changes.Add(int64(w.readTo), int64(len(w.log)), changed)
	w.readTo = len(w.log)
}

// followerReads lets the follower read a part of what it lacks.
func (w *followed) followerReads(now time.Duration) {
	to := w.heardTo + w.rng.IntN(len(w.log)-w.heardTo+1)
	w.follower.ApplyEvents(now, w.log[w.heardTo:to])
	w.heardTo = to
}

func (w *followed) tell(now time.Duration) bool {
	events, ok := w.changes.Since(int64(w.heardTo))
	w.follower.ApplyEvents(now, events)
	w.heardTo = len(w.log)
	return ok
}
