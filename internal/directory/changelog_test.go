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
	c.Add(10, 20, []Event{removed("a")})
	c.Add(20, 30, nil)
	c.Add(30, 40, []Event{removed("b")})
	for offset, want := range map[int64]int{10: 2, 15: 2, 20: 1, 35: 1, 40: 0} {
		events, ok := c.Since(offset)
		is.True(ok)
		is.Equal(len(events), want)
	}
	_, ok := c.Since(9) // before the first batch
	is.True(!ok)
	_, ok = c.Since(41) // the caller has read further
	is.True(!ok)
	c.Add(50, 60, nil) // 40 to 50 came from a peer: a gap
	_, ok = c.Since(40)
	is.True(!ok)
}

// An instance asks a peer for changes and reads the registrations itself before the
// answer arrives. The answer starts where the instance was when it asked, and the part
// already read contains no changes. If the log kept that part as empty, instances that
// update from this one would miss, for example, that a target drains, and would keep
// sending requests to it.
func TestOverlappingReadsKeepEveryChange(t *testing.T) {
	is := is.New(t)
	var c ChangeLog
	c.Reset(0)
	c.Add(0, 10, []Event{registered("a", 1, 2, Draining)}) // read by itself
	c.Add(0, 20, []Event{removed("b")})                    // the peer's answer
	events, ok := c.Since(5)
	is.True(ok)
	is.Equal(len(events), 2)
	events, ok = c.Since(10)
	is.True(ok)
	is.Equal(len(events), 1)
}

// One instance reads the registrations, another one updates from it, sometimes late
// and sometimes after reads of its own. Targets register, send heartbeats, drain,
// leave and return under the same ID. Both must list the same targets, otherwise one
// would keep sending requests to a target that has left.
func TestFollowerListsSameTargetsAsReader(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(7, 7))
	for range 200 {
		w := followerSim{rng: rng, reader: New(), follower: New()}
		sinceSync := 0
		for step := range 60 {
			now := time.Duration(step+1) * 500 * time.Millisecond
			w.publish()
			w.readerReads(now)
			if rng.IntN(8) == 0 {
				w.followerReads(now)
			}
			// After more than StoreOutageThreshold it would keep targets that left.
			if sinceSync++; sinceSync == 4 || rng.IntN(3) > 0 {
				sinceSync = 0
				is.True(w.syncFollower(now))
				is.Equal(usable(w.follower), usable(w.reader))
			}
		}
	}
}

// followerSim is a log of registrations with one instance that reads it and one that
// follows the reader.
type followerSim struct {
	rng                          *rand.Rand
	records                      []Event
	reader, follower             *Directory
	changes                      ChangeLog
	readerOffset, followerOffset int
	seq                          int64
}

func (w *followerSim) publish() {
	for range w.rng.IntN(4) {
		w.seq++
		id := strconv.Itoa(w.rng.IntN(5))
		switch w.rng.IntN(6) {
		case 0:
			w.records = append(w.records, removed(id))
		case 1:
			w.records = append(w.records, registered(id, w.seq/20, w.seq, Draining))
		default:
			w.records = append(w.records, registered(id, w.seq/20, w.seq, Ready))
		}
	}
}

func (w *followerSim) readerReads(now time.Duration) {
	changed := w.reader.ApplyEvents(now, w.records[w.readerOffset:])
	w.changes.Add(int64(w.readerOffset), int64(len(w.records)), changed)
	w.readerOffset = len(w.records)
}

// followerReads lets the follower itself read some of the records that it lacks.
func (w *followerSim) followerReads(now time.Duration) {
	end := w.followerOffset + w.rng.IntN(len(w.records)-w.followerOffset+1)
	w.follower.ApplyEvents(now, w.records[w.followerOffset:end])
	w.followerOffset = end
}

func (w *followerSim) syncFollower(now time.Duration) bool {
	events, ok := w.changes.Since(int64(w.followerOffset))
	w.follower.ApplyEvents(now, events)
	w.followerOffset = len(w.records)
	return ok
}
