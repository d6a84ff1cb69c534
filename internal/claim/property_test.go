package claim

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/mastictray/mastictray/internal/platform"
)

const horizon = time.Minute

// schedule draws one random history over three instances.
type schedule struct {
	*fleet
	t *rapid.T
	// born is when each key was first used, by the fleet's wall clock.
	born  map[string]int64
	keys  []string
	calls int
}

func newSchedule(t *rapid.T) *schedule {
	cfg := Config{
		MaxBatchAge: 1, RetryDelay: 1, RepeatHorizon: horizon, Window: 10 * time.Minute,
		MaxKeys: rapid.IntRange(1, 6).Draw(t, "maxKeys"), MaxHeldBytes: 30,
		MaxClockSkew: 10 * time.Second,
	}
	s := &schedule{fleet: newFleet(3, cfg), t: t, born: map[string]int64{}}
	for _, n := range s.nodes {
		n.skew = rapid.Int64Range(-4000, 4000).Draw(t, "skew")
	}
	return s
}

func (s *schedule) node() (int, *node) {
	i := rapid.IntRange(0, len(s.nodes)-1).Draw(s.t, "node")
	return i, s.nodes[i]
}

func (s *schedule) newKey() string {
	key := fmt.Sprintf("booking-%d", len(s.keys))
	switch rapid.IntRange(0, 4).Draw(s.t, "kind of key") {
	case 0, 1:
		key = datedKey(s.wall, len(s.keys))
	case 2:
		key = fmt.Sprintf("%s-%d", loose, len(s.keys))
	}
	s.keys = append(s.keys, key)
	s.born[key] = s.wall
	return key
}

// key is a new one or one sent before, within the time that callers keep to.
func (s *schedule) key() string {
	if len(s.keys) > 0 && rapid.IntRange(0, 2).Draw(s.t, "again") > 0 {
		key := rapid.SampledFrom(s.keys).Draw(s.t, "key")
		if _, dated := createdMillis(key); dated || s.wall-s.born[key] < horizon.Milliseconds()-8000 {
			return key
		}
	}
	return s.newKey()
}

func (s *schedule) step() {
	i, n := s.node()
	switch rapid.IntRange(0, 15).Draw(s.t, "step") {
	case 0, 1, 2:
		s.calls++
		key := s.key()
		s.begin(i, fmt.Sprintf("r%d", s.calls), key, strings.HasPrefix(key, loose))
	case 3, 4, 5:
		if len(n.pending) > 0 {
			s.append(n, fate(max(0, rapid.IntRange(-4, 4).Draw(s.t, "fate"))))
		}
	case 6, 7:
		s.read(n, rapid.IntRange(1, 5).Draw(s.t, "limit"))
	case 8:
		if len(n.run) > 0 {
			s.dispatch(n)
		}
	case 9:
		if len(n.sent) > 0 {
			s.finish(n, ending(max(0, rapid.IntRange(-2, 2).Draw(s.t, "ending"))))
		}
	case 10, 11, 12:
		s.settle(n)
	default:
		s.rare(i, n)
	}
}

func (s *schedule) rare(i int, n *node) {
	switch rapid.IntRange(0, 7).Draw(s.t, "rare") {
	case 0:
		s.kill(i)
	case 1:
		if len(s.late) > 0 {
			s.land()
		}
	case 2:
		s.start = platform.Offset(rapid.Int64Range(int64(s.start), int64(len(s.recs))).Draw(s.t, "trim"))
	case 3:
		_, peer := s.node()
		n.m.Restore([]Page{peer.m.Snapshot(-1, 1000)})
	case 4:
		_, peer := s.node()
		n.m.ProcessEnded(n.now, peer.incarnation+"x")
		s.ready(n)
	default:
		d := time.Duration(rapid.IntRange(1, 20).Draw(s.t, "seconds")) * time.Second
		s.wall += d.Milliseconds()
		for _, o := range s.nodes {
			o.now += d
		}
		s.tick(n)
	}
}

// Callers repeat bookings at any instance while instances die, thaw, restart
// from a trimmed log or a peer's snapshot, forget old keys, and appends are
// lost, late or answered wrongly. Whatever the order, a booking runs at most
// once, a call told not_run never runs, and a replay is the first's answer. On
// a route that runs without a claim while the log is down, a key may run again,
// but not_run and the replay hold there too.
func TestAnyScheduleRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSchedule(rt)
		for range rapid.IntRange(20, 150).Draw(rt, "steps") {
			s.step()
			if why := s.broken(); why != "" {
				rt.Fatal(why)
			}
		}
	})
}

// drain lets everything that is under way come to its end without faults.
func (f *fleet) drain() {
	for range 50 {
		for _, n := range f.nodes {
			f.settle(n)
		}
	}
}

func (f *fleet) settle(n *node) {
	for len(n.pending) > 0 {
		f.append(n, stored)
	}
	f.read(n, 1000)
	for len(n.run) > 0 {
		f.dispatch(n)
	}
	for len(n.sent) > 0 {
		f.finish(n, answered)
	}
}

// The answer to an append is lost and the caller is refused, not run, at its
// deadline. The claim lands in the log afterwards and takes the key. The
// instance sees it, frees the key, and the caller's next try runs: without
// that, the key would be held for the whole window by a request that is dead.
func TestOrphanClaimFreesItsKey(t *testing.T) {
	is := is.New(t)
	f := newFleet(2, Config{MaxBatchAge: 1, RetryDelay: 1})
	f.begin(0, "r1", "key", false)
	f.append(f.nodes[0], lateUnknown)
	f.nodes[0].now += 20 * time.Second
	f.tick(f.nodes[0])
	is.True(f.notRun["r1"])
	f.land()
	f.drain()
	f.begin(1, "r2", "key", false)
	f.drain()
	is.Equal(f.runs["key"], []string{"r2"})
	is.Equal(f.broken(), "")
}

// The answer to an append of a claim is lost, before or after it took effect.
// The claim is not appended again: a second copy could land after the first
// was abandoned and hold the key for a request that never runs.
func TestUnknownAppendIsNotRepeated(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, Config{MaxBatchAge: 1, RetryDelay: 1})
	f.begin(0, "r1", "key", false)
	f.append(f.nodes[0], lostUnknown)
	f.tick(f.nodes[0])
	is.Equal(len(f.nodes[0].pending), 0)
}

// The log is down. The default route refuses at once with not_run; the route
// that runs without a claim runs, and its repeat at the same instance gets
// the first's answer even before the log is back.
func TestLogDownPerRoute(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, Config{MaxBatchAge: 1, RetryDelay: time.Second})
	n := f.nodes[0]
	f.begin(0, "probe", "k0", false)
	for range downAfter {
		n.now += time.Second
		f.ready(n)
		f.append(n, refused)
	}
	f.begin(0, "safe", "k1", false)
	is.True(f.notRun["safe"])
	f.begin(0, "loose", "k2", true)
	f.begin(0, "again", "k2", true)
	f.dispatch(n)
	f.finish(n, answered)
	is.Equal(f.runs["k2"], []string{"loose"})
	is.Equal(n.m.Stats().Answers[Replay], int64(1))
	n.now += 2 * time.Second
	f.ready(n)
	f.drain()
	is.Equal(n.m.table.holders[HashKey("a", "k2")].Result.Status, 200)
}

// A caller uses its key again for another booking. It is refused, not run:
// running it would break the key's promise, replaying would answer wrongly.
func TestSameKeyOtherBody(t *testing.T) {
	is := is.New(t)
	m := New(Config{MaxBatchAge: 1})
	is.NoErr(m.Begin(0, 1, Request{ID: "r1", Key: "k", Deadline: time.Second}))
	is.NoErr(m.Begin(0, 1, Request{ID: "r2", Key: "k", Deadline: time.Second, RequestHash: RequestHash{1}}))
	out := m.Ready(1)
	is.Equal(out.Answers, []Answer{{ID: "r2", State: BodyMismatch}})
	is.Equal(len(out.Appends), 1)
}

// Claims of many requests share one append: the log takes only several
// hundred appends a second from the whole fleet.
func TestClaimsShareOneAppend(t *testing.T) {
	is := is.New(t)
	m := New(Config{})
	for i := range 100 {
		id := fmt.Sprint("r", i)
		is.NoErr(m.Begin(0, 1, Request{ID: id, Key: id, Deadline: time.Second}))
	}
	is.Equal(len(m.Ready(0).Appends), 0)
	out := m.Ready(5 * time.Millisecond)
	is.Equal(len(out.Appends), 1)
	is.Equal(len(out.Appends[0].Records), 100)
}

func TestKeyDates(t *testing.T) {
	is := is.New(t)
	const wall = 1_800_000_000_000
	date := func(key string) int64 { return keyDate(key, wall, time.Minute, time.Second) }
	is.Equal(date(datedKey(wall-5, 1)), int64(wall-5))
	is.Equal(date("01KW8E2A00ABCDEFGHJKMNPQRS") < wall, true)
	is.Equal(date("booking-1"), int64(wall-60_000))
	is.Equal(date(datedKey(wall+3600_000, 1)), int64(wall-60_000)) // dated in the future
}
